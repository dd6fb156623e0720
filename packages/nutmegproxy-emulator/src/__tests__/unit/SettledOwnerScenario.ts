/**
 * A lasting task of a minion that drains and leaves, under an owner that took over before. Calls to that
 * minion are lost or late, and so are the starts on the first other minion that gets one.
 */

import type {MinionId} from '@nutmegproxy/core';
import type {OrderFailure, PollOrder, RunOrder, StartOrder} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';

import {errAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {waitFor} from './JobSamples.ts';
import {LastingTaskScenario} from './LastingTaskScenario.ts';
import {sleep} from './TakeoverHarness.ts';

/** Time in milliseconds from the beginning of the draining until the minion leaves. */
export const DRAINING_MS = 3_000;
/** Time in milliseconds from the beginning of the draining until the next fault. */
const FAULT_DELAY_MS = 600;
/** Time in milliseconds for which the owner has been in charge before the minion drains. */
const SETTLED_MS = 1_500;
/** Time in milliseconds for which the task is watched once it runs again. */
const WATCHED_MS = 1_500;
/** Longest time in milliseconds that a scenario is played after the beginning of the draining. */
const MAX_PLAYED_MS = 24_000;
const STEP_MS = 50;

/** A delay of Infinity: the order is lost. Undefined: it is answered. */
export interface CallFaults {
  /** Whether the responses to polls are lost from the beginning of the draining on. */
  readonly arePollAnswersLost: boolean;
  /** Time in milliseconds after which stops are carried out, without a response. */
  readonly stopDelayMs: number | undefined;
  /** How many stops are rejected as by an unhealthy minion. */
  readonly stopsRejected: number;
}

/** What happens to the first minion that gets a start of the task, after that start. */
export type StartOutcome = 'answers' | 'drains' | 'leaves' | 'restarts' | 'silent';
/** What happens to the entry of the minion that leaves. */
export type EntryChange = 'kept' | 'removed' | 'removed early' | 'rewritten';

export interface SettledOwnerFaults extends CallFaults {
  /** Time in milliseconds after which a call fails that gets no response. */
  readonly callTimeoutMs: number;
  /** Time in milliseconds from the beginning of the draining until the minion leaves. */
  readonly drainingMs: number;
  readonly entry: EntryChange;
  readonly hasList: boolean;
  /** Whether the minion is cut off before it leaves. */
  readonly isCutOff: boolean;
  /** Time in milliseconds from the first start on that minion to its `startOutcome`. */
  readonly outcomeDelayMs: number;
  /** Time in milliseconds after which starts on that minion are carried out, without a response. */
  readonly startDelayMs: number | undefined;
  readonly startOutcome: StartOutcome;
}

export const NO_FAULTS: SettledOwnerFaults = {
  arePollAnswersLost: false,
  callTimeoutMs: 40,
  drainingMs: DRAINING_MS,
  entry: 'removed',
  hasList: false,
  isCutOff: false,
  outcomeDelayMs: 300,
  startDelayMs: undefined,
  startOutcome: 'answers',
  stopDelayMs: undefined,
  stopsRejected: 0,
};

interface ScheduledAction {
  readonly act: () => void;
  readonly dueMs: number;
}

const UNANSWERED: OrderFailure = {
  clockMs: undefined,
  isTimeout: true,
  kind: 'unanswered',
  message: 'injected',
};
const UNHEALTHY: OrderFailure = {clockMs: undefined, kind: 'unhealthy', message: 'injected'};

/** Returns a call that fails after its timeout. */
function timeOut<Answer>(timeoutMs: number): ResultAsync<Answer, OrderFailure> {
  return new ResultAsync(sleep(timeoutMs).then(() => errAsync<Answer, OrderFailure>(UNANSWERED)));
}

export class SettledOwnerScenario extends LastingTaskScenario {
  readonly draining: EmulatedMinion;
  readonly #faults: SettledOwnerFaults;
  #isDraining = false;
  readonly #scheduled: ScheduledAction[] = [];
  #startTarget: MinionId | undefined;
  #stopsRejected = 0;

  constructor(faults: SettledOwnerFaults) {
    super();
    this.#faults = faults;
    if (faults.hasList) {
      this.harness.addMachineList();
    }
    this.draining = this.addMinion('m1');
  }

  /** Lets the first owner start the task, and the next one take over and settle. */
  async settle(): Promise<void> {
    await this.startOwner();
    await this.harness.runLastingTask(this.draining);
    await this.killOwner();
    for (const name of ['m2', 'm3', 'm4']) {
      this.addMinion(name);
    }
    await this.startOwner();
    await waitFor('all minions have reported', () =>
      this.minions.every(({answeredPolls}) => answeredPolls > 2),
    );
    await this.pass(SETTLED_MS);
    this.#injectCallFaults();
  }

  /** Lets the minion drain and leave, with what happens besides. */
  beginDraining(): void {
    this.#isDraining = true;
    this.drain(this.draining);
    if (this.#faults.isCutOff) {
      this.after(FAULT_DELAY_MS, () => {
        this.harness.fleet.faults(this.draining.description.id).isUnreachable = true;
      });
    }
    this.#scheduleEntryChange();
    this.after(this.#faults.drainingMs, () => {
      this.#leaveWithEntry();
    });
  }

  /** Plays until the task runs again and all that was to happen has happened, and checks its runs. */
  async playAndCheck(): Promise<void> {
    const playedUntil = this.now + MAX_PLAYED_MS;
    while (this.now < playedUntil && !(this.#scheduled.length === 0 && this.isRunning())) {
      await this.step();
    }
    await this.stepFor(WATCHED_MS);
    this.assertRunsInTime();
    assert.ok(this.isRunning(), 'the task does not run');
  }

  async stepFor(milliseconds: number): Promise<void> {
    for (const until = this.now + milliseconds; this.now < until;) {
      await this.step();
    }
  }

  /** Lets one step of time pass; minions that are cut off end their runs by themselves. */
  async step(): Promise<void> {
    await this.pass(STEP_MS);
    for (const action of this.#scheduled.filter(({dueMs}) => dueMs <= this.now)) {
      this.#scheduled.splice(this.#scheduled.indexOf(action), 1);
      action.act();
    }
    for (const minion of this.minions) {
      minion.advance(this.now);
    }
  }

  /** Does something after a delay; never, if that is Infinity. */
  after(delayMs: number, act: () => void): void {
    if (delayMs < Infinity) {
      this.#scheduled.push({act, dueMs: this.now + delayMs});
    }
  }

  #injectCallFaults(): void {
    const {fleet} = this.harness;
    const {arePollAnswersLost, callTimeoutMs, startDelayMs, stopDelayMs, stopsRejected} =
      this.#faults;
    const {id: drainingId} = this.draining.description;
    const poll = fleet.poll.bind(fleet);
    const start = fleet.start.bind(fleet);
    const stop = fleet.stop.bind(fleet);
    fleet.poll = (target, order: PollOrder) => {
      const isLost = arePollAnswersLost && this.#isDraining && target.id === drainingId;
      return isLost
        ? poll(target, order).andThen(() => timeOut<MinionListing>(callTimeoutMs))
        : poll(target, order);
    };
    fleet.stop = (target, order: RunOrder) => {
      if (target.id !== drainingId) {
        return stop(target, order);
      }
      if (this.#stopsRejected < stopsRejected) {
        this.#stopsRejected += 1;
        return errAsync(UNHEALTHY);
      }
      if (stopDelayMs === undefined) {
        return stop(target, order);
      }
      this.after(stopDelayMs, () => {
        this.#carryOut(target.id, (minion) => minion.stop(order, this.now));
      });
      return timeOut(callTimeoutMs);
    };
    fleet.start = (target, order: StartOrder) => {
      if (this.#startTarget === undefined) {
        this.#startTarget = target.id;
        this.#affectStartTarget(target.id);
      }
      if (target.id !== this.#startTarget || startDelayMs === undefined) {
        return start(target, order);
      }
      this.after(startDelayMs, () => {
        this.#carryOut(target.id, (minion) => minion.start(order, this.now));
      });
      return timeOut(callTimeoutMs);
    };
  }

  /** Carries out an order that arrives late, unless the minion is gone. */
  #carryOut(id: MinionId, act: (minion: EmulatedMinion) => unknown): void {
    const minion = this.minions.find(({description}) => description.id === id);
    if (minion !== undefined && !minion.isDown(this.now)) {
      act(minion);
    }
  }

  #affectStartTarget(id: MinionId): void {
    const {fleet} = this.harness;
    const minion = this.minions.find(({description}) => description.id === id);
    assert.ok(minion);
    const handlers: Readonly<Record<StartOutcome, () => void>> = {
      answers: () => undefined,
      drains: () => {
        this.drain(minion);
        this.after(DRAINING_MS, () => {
          this.leave(minion);
        });
      },
      leaves: () => {
        this.leave(minion);
      },
      restarts: () => {
        minion.restart((minion.description.bornAt ?? 0) + 1, this.now);
        fleet.add(minion);
      },
      silent: () => {
        fleet.faults(id).isUnreachable = true;
      },
    };
    this.after(this.#faults.outcomeDelayMs, handlers[this.#faults.startOutcome]);
  }

  #leaveWithEntry(): void {
    if (this.#faults.entry === 'kept') {
      this.loseForGood(this.draining);
    } else {
      this.leave(this.draining);
    }
  }

  #scheduleEntryChange(): void {
    const {fleet} = this.harness;
    const {draining} = this;
    const handlers: Readonly<Record<EntryChange, () => void>> = {
      kept: () => undefined,
      removed: () => undefined,
      'removed early': () => {
        fleet.removeEntry(draining.description.id);
      },
      rewritten: () => {
        draining.description = {...draining.description, isDraining: false};
        fleet.add(draining);
      },
    };
    this.after(FAULT_DELAY_MS, handlers[this.#faults.entry]);
  }
}
