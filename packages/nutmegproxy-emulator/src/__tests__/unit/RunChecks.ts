/** Checks of the runs of lasting tasks, which minions record. */

import type {JobId} from '@nutmegproxy/core';

import assert from 'node:assert/strict';

import type {EmulatedMinion, RecordedRun} from '../../EmulatedMinion.ts';

/** Time in milliseconds for which running work outlasts that no owner is in touch, where a lease is long enough. */
const MAX_SILENCE_MS = 4_000;
/** Shortest longest lease in milliseconds with which it does. */
const MIN_LASTING_LEASE_MS = 6_000;
/** Time in milliseconds that an owner has to be in touch for the next silence not to continue the last one. */
const RESUMED_MS = 2_000;
/** Time in milliseconds within which an interrupted lasting task runs again, beyond the longest lease. */
const RESTART_AFTER_LEASE_MS = 3_000;
/** Time in milliseconds for which a kill of the owner excuses a task that does not run, but for the limit below. */
const KILL_AFTERMATH_MS = 4_000;
/** Time in milliseconds within which it does where the list of machines works, whatever happens. */
const RESTART_WITH_LIST_MS = 9_000;
/** Longest time in milliseconds for which a lease lasts on a minion, as a multiple of its length, and more. */
const MAX_STRETCH = 1.03;
const MAX_LATENESS_MS = 500;

interface Silence {
  readonly fromMs: number;
  untilMs: number;
}

export interface CheckedBounds {
  readonly hasList: boolean;
  readonly maxMinionLeaseMs: number;
}

/**
 * @example
 * const checks = new RunChecks(minions, {hasList: false, maxMinionLeaseMs: 6_000});
 * checks.observe(now, isInTouch); // in each step
 * checks.assertRuns(now, 2);
 */
export class RunChecks {
  readonly #bounds: CheckedBounds;
  readonly #checkedLapses = new Set<RecordedRun>();
  readonly #failures: string[] = [];
  readonly #killedAt: number[] = [];
  readonly #minions: readonly EmulatedMinion[];
  readonly #silences = new Map<EmulatedMinion, Silence[]>();
  readonly #submittedAt = new Map<JobId, number>();
  readonly #touchedSince = new Map<EmulatedMinion, number>();

  constructor(minions: readonly EmulatedMinion[], bounds: CheckedBounds) {
    this.#minions = minions;
    this.#bounds = bounds;
  }

  /** Longest time in milliseconds for which a lasting task may be idle, unless its owner is killed. */
  get restartLimitMs(): number {
    return this.#bounds.maxMinionLeaseMs + RESTART_AFTER_LEASE_MS;
  }

  recordKill(nowMs: number): void {
    this.#killedAt.push(nowMs);
  }

  /** Expects that the only task of a job runs from now on. */
  expectTask(job: JobId, nowMs: number): void {
    this.#submittedAt.set(job, nowMs);
  }

  /** Lets minions end what has lapsed, and checks that it may. */
  observe(nowMs: number, isInTouch: (minion: EmulatedMinion) => boolean): void {
    for (const minion of this.#minions) {
      this.#observeTouch(minion, isInTouch(minion) && !minion.isDown(nowMs), nowMs);
      minion.advance(nowMs);
      for (const run of minion.records) {
        if (run.outcome === 'lapsed' && !this.#checkedLapses.has(run)) {
          this.#checkedLapses.add(run);
          this.#checkLapse(minion, run);
        }
      }
    }
  }

  /** Checks that no task ran twice at once or was idle for longer than it may, and that all run now. */
  assertRuns(nowMs: number, count: number): void {
    assert.equal(this.#submittedAt.size, count);
    for (const [job, submittedAtMs] of this.#submittedAt) {
      this.#checkTask(job, submittedAtMs, nowMs);
    }
    assert.deepEqual(this.#failures, []);
  }

  #checkTask(job: JobId, submittedAtMs: number, nowMs: number): void {
    const runs = this.#minions
      .flatMap((minion) => minion.records.map((run) => ({...run, minion: minion.description.id})))
      .filter(({task}) => task.startsWith(job))
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
    const known = this.#failures.length;
    let idleSinceMs = runs[0]?.startedAtMs ?? submittedAtMs;
    for (const {endedAtMs = Infinity, minion, number, outcome, startedAtMs} of runs) {
      const run = `run ${number} of ${job} on ${minion} (${String(outcome)})`;
      if (startedAtMs < idleSinceMs) {
        this.#failures.push(
          `${run} began at ${startedAtMs}, before the end of the one before at ${idleSinceMs}`,
        );
      }
      this.#checkIdle(run, idleSinceMs, startedAtMs);
      idleSinceMs = Math.max(idleSinceMs, endedAtMs);
    }
    this.#checkIdle(`no run of ${job}`, Math.min(idleSinceMs, nowMs), nowMs);
    if (idleSinceMs !== Infinity) {
      this.#failures.push(`${job} does not run at the end, since ${idleSinceMs}`);
    }
    if (this.#failures.length > known) {
      const ends = runs.map(
        ({endedAtMs, minion, number, outcome, startedAtMs}) =>
          `${number} on ${minion} from ${startedAtMs} to ${String(endedAtMs)} (${String(outcome)})`,
      );
      this.#failures.push(`runs of ${job}, submitted at ${submittedAtMs}: ${ends.join(', ')}`);
    }
  }

  #checkIdle(what: string, sinceMs: number, untilMs: number): void {
    const killedAtMs = Math.max(...this.#killedAt.filter((atMs) => atMs < untilMs));
    const countedMs = untilMs - Math.max(sinceMs, killedAtMs + KILL_AFTERMATH_MS);
    const isOverLimit = this.#bounds.hasList && untilMs - sinceMs > RESTART_WITH_LIST_MS;
    if (countedMs > this.restartLimitMs || isOverLimit) {
      this.#failures.push(`idle for ${untilMs - sinceMs} ms from ${sinceMs}, until ${what}`);
    }
  }

  #checkLapse(minion: EmulatedMinion, {endedAtMs = 0, number, task}: RecordedRun): void {
    const {maxMinionLeaseMs} = this.#bounds;
    const grantedSinceMs = endedAtMs - maxMinionLeaseMs * MAX_STRETCH - MAX_LATENESS_MS;
    const isExcused = (this.#silences.get(minion) ?? []).some(
      ({fromMs, untilMs}) => untilMs - fromMs > MAX_SILENCE_MS && untilMs >= grantedSinceMs,
    );
    if (!isExcused && maxMinionLeaseMs >= MIN_LASTING_LEASE_MS) {
      const {id} = minion.description;
      this.#failures.push(`run ${number} of ${task} on ${id} lapsed at ${endedAtMs}`);
    }
  }

  #observeTouch(minion: EmulatedMinion, isInTouch: boolean, nowMs: number): void {
    const silences = this.#silences.get(minion) ?? [];
    this.#silences.set(minion, silences);
    if (isInTouch) {
      const since = this.#touchedSince.get(minion) ?? nowMs;
      this.#touchedSince.set(minion, since);
      return;
    }
    const touchedSince = this.#touchedSince.get(minion);
    const last = silences.at(-1);
    if (last === undefined || (touchedSince !== undefined && nowMs - touchedSince >= RESUMED_MS)) {
      silences.push({fromMs: nowMs, untilMs: nowMs});
    } else {
      last.untilMs = nowMs;
    }
    this.#touchedSince.delete(minion);
  }
}
