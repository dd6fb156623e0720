/** Plays owners that follow one another on an event loop and a clock of their own: nothing waits in real time. */

import type {EventFields, EventKind} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';
import {deriveLeaseTimes} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {EmulatedLoop} from './EmulatedLoop.ts';
import type {WaitingVm} from './TakeoverHarness.ts';
import type {OwnerTerm, UnreadRecordsPlay} from './UnreadRecordsPlays.ts';

import {delayCalls} from './DelayedStore.ts';
import {EmulatedVms} from './EmulatedVms.ts';
import {createStepShape, createStoredJob, submitJob} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';
import {UnreadRecordsMinions} from './UnreadRecordsMinions.ts';

/** Time in milliseconds for which the minions have been up. */
const UPTIME_MS = 500_000;
const SETTLED_MS = 2_500;
const MINIONS = 5;
const INITIAL_TASKS = 3;
const POLL_WAIT_MS = 100;
const STEP_MS = 25;
/** Longest time in milliseconds for which the last owner acts. */
const LAST_TERM_MS = 24_000;
/** Longest time in milliseconds that an acquisition, or the begin of the first runs, takes. */
const MAX_ACQUISITION_MS = 10_000;
/** Time in milliseconds for which an owner that loses the store does not reach it. */
const STORE_LOST_MS = 4_500;
/** Time in milliseconds for which the tasks are watched once all run again. */
const WATCHED_MS = 1_000;

const CLOSING_KEY = formatRecordKey('closing', FIRST_CELL);

/**
 * @example
 * const scenario = new UnreadRecordsScenario(play);
 * await scenario.run();
 * findRunsBesideOthers(scenario.minions); // []
 */
export class UnreadRecordsScenario {
  /** What happened, in order. */
  readonly log: string[] = [];
  readonly #ended = new Set<OwnerTerm>();
  readonly #harness: TakeoverHarness;
  #jobs = 0;
  readonly #loop: EmulatedLoop;
  readonly #minions: UnreadRecordsMinions;
  /** Number of events that have not begun or not ended. */
  #pending = 0;
  readonly #play: UnreadRecordsPlay;
  #vms = 0;
  readonly #time = new EmulatedVms();

  constructor(play: UnreadRecordsPlay) {
    this.#play = play;
    this.#time.clock.advance(UPTIME_MS);
    const loop = this.#time.addLoop(1);
    this.#harness = new TakeoverHarness(loop.clock);
    this.#loop = loop;
    const {fleet} = this.#harness;
    fleet.maxPollWaitMs = POLL_WAIT_MS;
    const {maxMinionLeaseMs} = play;
    this.#harness.leaseTimes = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
    if (play.hasList) {
      this.#harness.addMachineList();
    }
    this.#minions = new UnreadRecordsMinions({
      after: (delayMs, act) => {
        this.#after(delayMs, act);
      },
      harness: this.#harness,
      play,
    });
  }

  get minions(): readonly EmulatedMinion[] {
    return this.#minions.all;
  }

  get now(): number {
    return this.#harness.clock.monotonic();
  }

  async run(): Promise<void> {
    this.#time.replaceTimers();
    let outcome: unknown;
    let isDone = false;
    try {
      this.#loop.addImmediate(() => {
        void this.#run()
          .catch((error: unknown) => {
            outcome = error;
          })
          .finally(() => {
            isDone = true;
          });
      });
      await this.#time.runUntil(Infinity, () => isDone);
    } finally {
      this.#time.restoreTimers();
    }
    if (outcome !== undefined) {
      throw outcome as Error;
    }
  }

  async #run(): Promise<void> {
    const {events, owners} = this.#play;
    this.#minions.add('m0');
    let owner = await this.#takeOver(this.#addVm(undefined));
    for (let index = 0; index < INITIAL_TASKS; index += 1) {
      await this.#submit();
    }
    await this.#waitFor('the tasks run', () => this.minions[0]?.liveTasks.length === INITIAL_TASKS);
    for (let index = 1; index < MINIONS; index += 1) {
      this.#minions.add(`m${index}`);
    }
    await this.#pass(SETTLED_MS);
    this.#note('begin');
    for (const event of events) {
      this.#after(event.atMs, () => {
        this.#note(`${event.kind} m${event.minion} ${event.lengthMs}`);
        if (event.kind === 'submit') {
          void this.#submit();
        } else {
          this.#minions.play(event.kind, event);
        }
      });
    }
    for (const [index, term] of owners.entries()) {
      const watching = term.isWatched ? this.#addVm(owners[index + 1]) : undefined;
      await this.#pass(term.actsForMs);
      this.#note(`${term.end} of term ${index}`);
      this.#ended.add(term);
      await this.#ends[term.end](owner);
      await this.#pass(term.gapMs);
      owner = await this.#takeOver(watching ?? this.#addVm(owners[index + 1]));
    }
    const until = this.now + LAST_TERM_MS;
    while (this.now < until && !(this.#pending === 0 && this.#areAllRunning())) {
      await this.#pass(WATCHED_MS);
    }
    await this.#pass(WATCHED_MS);
    const ended = owner.stop();
    await this.#harness.close();
    await ended;
  }

  /** How an owner ends; the ownership is free after that. */
  readonly #ends: Readonly<Record<OwnerTerm['end'], (owner: WaitingVm) => Promise<void>>> = {
    kill: async (owner) => {
      owner.isolate();
      await this.#pass(OWNERSHIP_TTL_MS);
      await owner.kill(0);
    },
    loseStore: async (owner) => {
      owner.isAllowed = false;
      owner.cutStore(true);
      setTimeout(() => {
        owner.cutStore(false);
      }, STORE_LOST_MS);
      await this.#pass(OWNERSHIP_TTL_MS);
      assert.ok(owner.ownership);
      await this.#harness.store.revokeLease(owner.ownership.lease);
    },
    stopAsPlanned: (owner) => owner.stop(),
  };

  #after(delayMs: number, act: () => void): void {
    this.#pending += 1;
    setTimeout(() => {
      this.#pending -= 1;
      act();
    }, delayMs);
  }

  #areAllRunning(): boolean {
    return new Set(this.minions.flatMap(({liveTasks}) => liveTasks)).size === this.#jobs;
  }

  #note(text: string): void {
    this.log.push(`${this.now - UPTIME_MS} ${text}`);
  }

  #noteEvent(vm: string, kind: EventKind, fields: EventFields): void {
    this.#note(`${vm} ${kind.code} ${JSON.stringify(fields)}`);
  }

  async #pass(milliseconds: number): Promise<void> {
    for (const until = this.now + milliseconds; this.now < until;) {
      await new Promise((resolve) => setTimeout(resolve, STEP_MS));
      this.#minions.advance();
    }
  }

  async #submit(): Promise<void> {
    this.#jobs += 1;
    const job = createStoredJob(this.#jobs, [createStepShape({longRunning: true})]);
    await submitJob(this.#harness.store, job);
  }

  #addVm(term: OwnerTerm | undefined): WaitingVm {
    this.#vms += 1;
    const name = `vm-${this.#vms}`;
    const isFailing = (args: readonly unknown[]): boolean =>
      term?.isClosingUnread === true && !this.#ended.has(term) && isClosingRead(args);
    return this.#harness.startWaitingVm(
      name,
      this.#harness.fleet,
      (store) => (term === undefined ? store : delayCalls(store, term.storeMs, isFailing)),
      (kind, fields) => {
        this.#noteEvent(name, kind, fields);
      },
    );
  }

  async #takeOver(vm: WaitingVm): Promise<WaitingVm> {
    vm.isAllowed = true;
    await this.#waitFor('the VM owns the fleet', () => vm.ownership !== undefined);
    return vm;
  }

  async #waitFor(what: string, isDone: () => boolean): Promise<void> {
    const until = this.now + MAX_ACQUISITION_MS;
    while (!isDone()) {
      assert.ok(this.now < until, what);
      await this.#pass(STEP_MS);
    }
  }
}

function isClosingRead(args: readonly unknown[]): boolean {
  const [{then = []} = {}] = args as {then?: readonly {key?: string; kind?: string}[]}[];
  return then.some(({key, kind}) => kind === 'get' && key === CLOSING_KEY);
}
