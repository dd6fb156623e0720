/**
 * Measures what the owner's process spends its time on, and how long first starts take, from one
 * summary of the fleet to the next.
 */

import type {EventFields, Instant, WorkTurn} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';
import type {WorkKind} from '@nutmegproxy/scheduling';

import {classifyWork} from '@nutmegproxy/scheduling';
import {performance} from 'node:perf_hooks';

/** Time in milliseconds that the event loop has spent on work and on waiting since it started. */
export interface LoopTimes {
  readonly active: number;
  readonly idle: number;
}

/** Sums over the first starts of steps. */
interface FirstStarts {
  confirmed: number;
  confirmMs: number;
  placed: number;
  waitMs: number;
}

/** Names of the event fields of each kind of work. */
const FIELD_NAMES: Readonly<
  Record<WorkKind, {readonly confirmMs: string; readonly firstWaitMs: string}>
> = {
  filling: {confirmMs: 'confirmMsFilling', firstWaitMs: 'firstWaitMsFilling'},
  ordinary: {confirmMs: 'confirmMsOrdinary', firstWaitMs: 'firstWaitMsOrdinary'},
  serving: {confirmMs: 'confirmMsServing', firstWaitMs: 'firstWaitMsServing'},
};
const KINDS: readonly WorkKind[] = ['filling', 'ordinary', 'serving'];

function createFirstStarts(): Record<WorkKind, FirstStarts> {
  const create = (): FirstStarts => ({confirmed: 0, confirmMs: 0, placed: 0, waitMs: 0});
  return {filling: create(), ordinary: create(), serving: create()};
}

/** Returns the rounded mean; undefined, so that the field is omitted, when there is no value. */
function mean(sum: number, count: number): number | undefined {
  return count === 0 ? undefined : Math.round(sum / count);
}

export class OwnerLoad {
  #firstStarts = createFirstStarts();
  #loop: LoopTimes;
  #longestTurnMs = 0;
  #planMs = 0;
  #polls = 0;
  readonly #readLoop: () => LoopTimes;
  #starts = 0;
  /** When the first runs of steps were placed. */
  readonly #placedAt = new WeakMap<Run, Instant>();
  readonly #startedSteps = new WeakSet<StepState>();

  constructor(readLoop: () => LoopTimes = () => performance.eventLoopUtilization()) {
    this.#readLoop = readLoop;
    this.#loop = readLoop();
  }

  recordPoll(): void {
    this.#polls += 1;
  }

  /** Records a round of planning. */
  recordRound(durationMs: number): void {
    this.#planMs += durationMs;
  }

  /** Records a turn of the event loop. */
  recordTurn({durationMs}: WorkTurn): void {
    this.#longestTurnMs = Math.max(this.#longestTurnMs, durationMs);
  }

  /** Records a run that was placed. */
  recordPlaced(run: Run, now: Instant): void {
    const {step} = run;
    this.#starts += 1;
    if (this.#startedSteps.has(step)) {
      return;
    }
    this.#startedSteps.add(step);
    this.#placedAt.set(run, now);
    const sums = this.#firstStarts[classifyWork(step.shape)];
    sums.placed += 1;
    sums.waitMs += now - (step.readyAt ?? now);
  }

  /** Records that a minion has confirmed a start. */
  recordConfirmed(run: Run, now: Instant): void {
    const placedAt = this.#placedAt.get(run);
    if (placedAt === undefined) {
      return;
    }
    const sums = this.#firstStarts[classifyWork(run.step.shape)];
    sums.confirmed += 1;
    sums.confirmMs += now - placedAt;
  }

  /** Returns the event fields of the time since the last call, and begins anew. */
  takeFields(): EventFields {
    const loop = this.#readLoop();
    const activeMs = loop.active - this.#loop.active;
    const elapsedMs = Math.max(1, activeMs + loop.idle - this.#loop.idle);
    const fields: Record<string, number | undefined> = {
      longestTurnMs: Math.round(this.#longestTurnMs),
      loopBusyPercent: Math.round((100 * activeMs) / elapsedMs),
      planPercent: Math.round((100 * this.#planMs) / elapsedMs),
      pollsPerS: Math.round((1000 * this.#polls) / elapsedMs),
      startsPerS: Math.round((1000 * this.#starts) / elapsedMs),
    };
    for (const kind of KINDS) {
      const {confirmed, confirmMs, placed, waitMs} = this.#firstStarts[kind];
      fields[FIELD_NAMES[kind].firstWaitMs] = mean(waitMs, placed);
      fields[FIELD_NAMES[kind].confirmMs] = mean(confirmMs, confirmed);
    }
    this.#firstStarts = createFirstStarts();
    this.#loop = loop;
    this.#longestTurnMs = 0;
    this.#planMs = 0;
    this.#polls = 0;
    this.#starts = 0;
    return fields;
  }
}
