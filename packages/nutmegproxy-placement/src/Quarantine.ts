/** Workers that fail what their peers complete get no tasks, but for one canary at a time. */

import type {EntryId, Instant, WorkerId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import type {EntryKnowledge} from './EntryKnowledge.ts';

import {FadingCount, FailureRates} from './FailureRates.ts';

/** Failures beyond twice those that the entries' own failure rates explain. */
const EXCESS_FAILURES = 3;
const FIRST_PAUSE_MS = 30_000;
const LONGEST_PAUSE_MS = 600_000;
/** Entries whose failure rate is kept for each worker. */
const WORKER_ENTRY_LIMIT = 256;

interface WorkerRecord {
  canary: boolean;
  readonly expected: FadingCount;
  readonly failures: FadingCount;
  readonly own: FailureRates;
  pausedUntil: Instant | undefined;
  pauseMs: number;
}

/** Whether a worker takes tasks: all, none, or a single one as a trial. */
export type WorkerTrust = 'canary' | 'none' | 'open';

/** Compares each worker's failures with what its entries fail elsewhere. */
export class Quarantine {
  readonly #knowledge: EntryKnowledge;
  readonly #workers = new Map<WorkerId, WorkerRecord>();

  constructor(knowledge: EntryKnowledge) {
    this.#knowledge = knowledge;
  }

  /** Records how an attempt ended on a worker. */
  end(worker: WorkerId, entry: EntryId, failed: boolean, now: Instant): void {
    const record = this.#record(worker);
    record.expected.add(this.#failureRateElsewhere(record, entry, now), now);
    record.failures.add(failed ? 1 : 0, now);
    if (record.pausedUntil !== undefined) {
      this.#endCanary(record, failed, now);
      return;
    }
    // Failures on a suspect worker say nothing about the entry, so they are counted only here.
    const outcomes = {failures: failed ? 1 : 0, runs: 1};
    this.#knowledge.addOutcomes(entry, outcomes, now);
    record.own.add(entry, outcomes, now);
    if (failed && this.#excess(record, now) >= EXCESS_FAILURES) {
      this.#pause(record, FIRST_PAUSE_MS, now);
    }
  }

  forget(worker: WorkerId): void {
    this.#workers.delete(worker);
  }

  /** Notes that the single trial task has been given to the worker. */
  startCanary(worker: WorkerId): void {
    this.#record(worker).canary = true;
  }

  trust(worker: WorkerId, now: Instant): WorkerTrust {
    const record = this.#workers.get(worker);
    if (record?.pausedUntil === undefined) {
      return 'open';
    }
    return record.canary || now < record.pausedUntil ? 'none' : 'canary';
  }

  #endCanary(record: WorkerRecord, failed: boolean, now: Instant): void {
    // Attempts that were started before the pause end during it; only a trial decides.
    if (!record.canary) {
      return;
    }
    record.canary = false;
    if (failed) {
      this.#pause(record, Math.min(record.pauseMs * 2, LONGEST_PAUSE_MS), now);
      return;
    }
    record.pausedUntil = undefined;
    record.failures.add(-record.failures.value(now), now);
    record.expected.add(-record.expected.value(now), now);
  }

  #excess(record: WorkerRecord, now: Instant): number {
    return record.failures.value(now) - 2 * record.expected.value(now);
  }

  #failureRateElsewhere(record: WorkerRecord, entry: EntryId, now: Instant): number {
    const all = this.#knowledge.outcomes(entry, now);
    const own = record.own.outcomes(entry, now);
    const runs = all.runs - own.runs;
    const failures = all.failures - own.failures;
    // One success is assumed, so that a first failure does not make the entry the culprit.
    return Math.max(0, failures) / (Math.max(0, runs) + 1);
  }

  #pause(record: WorkerRecord, pauseMs: number, now: Instant): void {
    record.pauseMs = pauseMs;
    record.pausedUntil = after(now, pauseMs);
  }

  #record(worker: WorkerId): WorkerRecord {
    const known = this.#workers.get(worker);
    if (known) {
      return known;
    }
    const record: WorkerRecord = {
      canary: false,
      expected: new FadingCount(),
      failures: new FadingCount(),
      own: new FailureRates(WORKER_ENTRY_LIMIT),
      pausedUntil: undefined,
      pauseMs: FIRST_PAUSE_MS,
    };
    this.#workers.set(worker, record);
    return record;
  }
}
