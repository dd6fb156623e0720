/** Plays drawn events on minions that accept leases of a drawn length, and checks what becomes of lasting tasks. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {deriveLeaseTimes} from '@nutmegproxy/scheduling';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {LeaseBoundsPlay, PlayedEvent} from './LeaseBoundsPlays.ts';
import type {WaitingVm} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {LateCalls} from './LateCalls.ts';
import {RunChecks} from './RunChecks.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds for which the minions have been up. */
const UPTIME_MS = 500_000;
/** Reading in milliseconds of the clock of an incarnation that has just begun. */
const YOUNG_CLOCK_MS = 100;
/** Longest time in milliseconds for which nobody owns the fleet: the next owner takes over within it. */
const MAX_TAKEOVER_MS = 4_000;
/** Time in milliseconds for which starts or stops on a minion are late. */
const LATE_CALLS_MS = 3_000;
/** Longest time in milliseconds that an event lasts. */
const MAX_EVENT_MS = 30_000;
const MAX_DOWN_MS = 3_000;
const MIN_DRAINING_MS = 1_500;
/** Time in milliseconds for which the entry of a minion is kept whose machine is gone. */
const ENTRY_KEPT_MS = 3_500;
/** Time in milliseconds for which the tasks are watched once all run again. */
const WATCHED_MS = 1_500;
const SETTLED_MS = 1_500;
const STEP_MS = 50;
const INITIAL_TASKS = 2;

const MINIONS = 5;
/** Minions that events may concern; the others stay as they are, so that there is always room. */
const MAX_EXPOSED_MINIONS = 3;

/**
 * @example
 * await new LeaseBoundsScenario(play).run();
 */
export class LeaseBoundsScenario {
  readonly #calls: LateCalls;
  readonly #checks: RunChecks;
  readonly #harness = new TakeoverHarness();
  readonly #exposed = new Set<EmulatedMinion>();
  readonly #gone = new Set<EmulatedMinion>();
  #jobs = 0;
  readonly #minions: EmulatedMinion[] = [];
  #next: WaitingVm;
  #owner: undefined | WaitingVm;
  readonly #play: LeaseBoundsPlay;
  readonly #scheduled: {readonly act: () => void; readonly dueMs: number}[] = [];
  #vms = 0;

  constructor(play: LeaseBoundsPlay) {
    const {maxMinionLeaseMs} = play;
    this.#play = play;
    this.#harness.clock.advance(UPTIME_MS);
    this.#harness.leaseTimes = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
    if (play.hasList) {
      this.#harness.addMachineList();
    }
    this.#checks = new RunChecks(this.#minions, play);
    this.#calls = new LateCalls({
      after: (delayMs, act) => {
        this.#after(delayMs, act);
      },
      fleet: this.#harness.fleet,
      minions: this.#minions,
      now: () => this.#now,
      reachesLaterIncarnations: play.reachesLaterIncarnations,
    });
    this.#next = this.#addVm();
  }

  /** Plays all events and checks what the tasks' runs were. */
  async run(): Promise<void> {
    try {
      await this.#settle();
      for (const event of this.#play.events) {
        await this.#pass(event.afterMs);
        await this.#handlers[event.kind](event, this.#expose(event.minion));
      }
      const lastMs = this.#now + MAX_EVENT_MS + this.#checks.restartLimitMs;
      while (this.#now < lastMs && !(this.#scheduled.length === 0 && this.#areAllRunning())) {
        await this.#step();
      }
      await this.#pass(WATCHED_MS);
      this.#checks.assertRuns(this.#now, this.#jobs);
    } finally {
      await this.#harness.close();
    }
  }

  get #now(): number {
    return this.#harness.clock.monotonic();
  }

  readonly #handlers: Readonly<
    Record<
      PlayedEvent['kind'],
      (event: PlayedEvent, minion: EmulatedMinion | undefined) => Promise<void> | void
    >
  > = {
    cutOff: ({lengthMs}, minion) => {
      this.#affect(minion, lengthMs, ({id}, isBegun) => {
        this.#harness.fleet.faults(id).isUnreachable = isBegun;
      });
    },
    drain: ({lengthMs}, minion) => {
      this.#affect(minion, Math.max(MIN_DRAINING_MS, lengthMs), ({id}, isBegun) => {
        if (isBegun) {
          this.#updateEntry(minion, true);
        } else {
          this.#end(minion);
          this.#harness.fleet.remove(id);
        }
      });
    },
    kill: async ({lengthMs}) => {
      this.#checks.recordKill(this.#now);
      await this.#endOwner()?.kill(OWNERSHIP_TTL_MS);
      await this.#takeOver(lengthMs);
    },
    lateStarts: ({lengthMs}) => {
      this.#calls.beginOnNext(lengthMs);
      this.#after(LATE_CALLS_MS, () => {
        this.#calls.endOnNext();
      });
    },
    lateStops: ({lengthMs}, minion) => {
      this.#affect(minion, LATE_CALLS_MS, ({id}, isBegun) => {
        if (isBegun) {
          this.#calls.begin('stop', id, lengthMs);
        } else {
          this.#calls.end('stop', id);
        }
      });
    },
    lose: (_, minion) => {
      this.#affect(minion, ENTRY_KEPT_MS, ({id}, isBegun) => {
        if (isBegun) {
          this.#end(minion);
          this.#harness.fleet.machineList?.gone.add(id);
        } else {
          this.#harness.fleet.remove(id);
        }
      });
    },
    loseListings: ({lengthMs}, minion) => {
      this.#affect(minion, lengthMs, ({id}, isBegun) => {
        this.#harness.fleet.faults(id).arePollAnswersLost = isBegun;
      });
    },
    restart: ({lengthMs}, minion) => {
      const downMs = lengthMs % MAX_DOWN_MS;
      this.#affect(minion, downMs, (_, isBegun) => {
        if (isBegun) {
          minion?.crash(downMs, this.#now);
        } else {
          this.#updateEntry(minion);
        }
      });
    },
    stopAsPlanned: async ({lengthMs}) => {
      await this.#endOwner()?.stop();
      await this.#takeOver(lengthMs);
    },
    submit: () => this.#submit(),
  };

  #addVm(): WaitingVm {
    this.#vms += 1;
    return this.#harness.startWaitingVm(`vm-${this.#vms}`);
  }

  /** Lets something begin on a minion, and end later, unless the minion is gone. */
  #affect(
    minion: EmulatedMinion | undefined,
    lengthMs: number,
    change: (description: EmulatedMinion['description'], isBegun: boolean) => void,
  ): void {
    if (minion === undefined || this.#gone.has(minion)) {
      return;
    }
    change(minion.description, true);
    this.#after(lengthMs, () => {
      change(minion.description, false);
    });
  }

  #after(delayMs: number, act: () => void): void {
    this.#scheduled.push({act, dueMs: this.#now + delayMs});
  }

  #areAllRunning(): boolean {
    const live = new Set(this.#minions.flatMap(({liveTasks}) => liveTasks));
    return live.size === this.#jobs;
  }

  #end(minion: EmulatedMinion | undefined): void {
    if (minion !== undefined) {
      minion.crash(Infinity, this.#now);
      this.#gone.add(minion);
    }
  }

  /** Returns the minion that an event concerns; undefined if it has to stay as it is. */
  #expose(chosen: PlayedEvent['minion']): EmulatedMinion | undefined {
    const handlers = {
      host: () => this.#minions.find(({liveTasks}) => liveTasks.length > 0),
      target: () => this.#calls.target,
    };
    const minion = typeof chosen === 'number' ? this.#minions[chosen] : handlers[chosen]();
    if (minion !== undefined && this.#exposed.size < MAX_EXPOSED_MINIONS) {
      this.#exposed.add(minion);
    }
    return minion !== undefined && this.#exposed.has(minion) ? minion : undefined;
  }

  #endOwner(): undefined | WaitingVm {
    const owner = this.#owner;
    this.#owner = undefined;
    return owner;
  }

  async #pass(milliseconds: number): Promise<void> {
    for (const until = this.#now + milliseconds; this.#now < until;) {
      await this.#step();
    }
  }

  /** Lets one minion run tasks, to which others are added then. */
  async #settle(): Promise<void> {
    this.#addMinion('m0');
    await this.#takeOver(0);
    for (let index = 0; index < INITIAL_TASKS; index += 1) {
      await this.#submit();
    }
    await waitFor('the tasks run', () => this.#areAllRunning());
    for (let index = 1; index < MINIONS; index += 1) {
      this.#addMinion(`m${index}`);
    }
    await waitFor('all minions have reported', () =>
      this.#minions.every(({answeredPolls}) => answeredPolls > 2),
    );
    await this.#pass(SETTLED_MS);
  }

  #addMinion(name: string): void {
    const {clockLagRate, expiryLatenessMs, maxMinionLeaseMs, stopMs} = this.#play;
    const clock = {clockLagRate, expiryLatenessMs, restartClockMs: YOUNG_CLOCK_MS};
    const bounds = {...clock, maxMinionLeaseMs, stopMs};
    this.#minions.push(this.#harness.addMinion(name, undefined, bounds));
  }

  async #step(): Promise<void> {
    const {clock, fleet} = this.#harness;
    clock.advance(STEP_MS);
    this.#owner?.ownership?.confirm(clock.monotonic(), clock.wall());
    await sleep(STEP_MS);
    for (const action of this.#scheduled.filter(({dueMs}) => dueMs <= this.#now)) {
      this.#scheduled.splice(this.#scheduled.indexOf(action), 1);
      action.act();
    }
    this.#checks.observe(this.#now, ({description: {id}}) => {
      const {arePollAnswersLost, isUnreachable} = fleet.faults(id);
      return this.#owner !== undefined && !arePollAnswersLost && !isUnreachable;
    });
  }

  async #submit(): Promise<void> {
    this.#jobs += 1;
    const job = createStoredJob(this.#jobs, [createStepShape({longRunning: true})]);
    this.#checks.expectTask(job.id, this.#now);
    await submitJob(this.#harness.store, job);
  }

  /** Lets another VM own the fleet, at most `MAX_TAKEOVER_MS` after the end of the owner before. */
  async #takeOver(lengthMs: number): Promise<void> {
    await this.#pass(lengthMs % (MAX_TAKEOVER_MS - OWNERSHIP_TTL_MS));
    const vm = this.#next;
    vm.isAllowed = true;
    await waitFor('the VM owns the fleet', () => vm.ownership !== undefined);
    this.#owner = vm;
    this.#next = this.#addVm();
  }

  #updateEntry(minion: EmulatedMinion | undefined, isDraining = false): void {
    if (minion !== undefined && !this.#gone.has(minion)) {
      const {description} = minion;
      minion.description = {...description, isDraining: isDraining || description.isDraining};
      this.#harness.fleet.add(minion);
    }
  }
}
