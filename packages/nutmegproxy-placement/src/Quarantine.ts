/**
 * Quarantines workers that fail tasks which succeed elsewhere. A quarantined worker gets no tasks
 * for a time, then one canary task at a time.
 */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import type {EntryKnowledge} from './EntryKnowledge.ts';

import {DecayingCount, FailureRates} from './FailureRates.ts';

/** A worker is quarantined at this many failures above twice the number expected of its entries. */
const EXCESS_FAILURE_LIMIT = 3;
const INITIAL_QUARANTINE_MS = 30_000;
const MAX_QUARANTINE_MS = 600_000;
/** Maximum number of entries whose failure rate is kept for each worker. */
const WORKER_ENTRY_LIMIT = 256;

interface WorkerRecord {
  /** The one attempt on the worker after its quarantine; undefined while there is none. */
  canary: AttemptId | undefined;
  readonly entryRates: FailureRates;
  readonly expected: DecayingCount;
  readonly failures: DecayingCount;
  quarantinedUntil: Instant | undefined;
  quarantineMs: number;
}

/** Which tasks a worker may get: all, none, or a single canary. */
export type WorkerTrust = 'canary' | 'none' | 'open';

/** Compares each worker's failures with the failure rates of its entries on other workers. */
export class Quarantine {
  readonly #knowledge: EntryKnowledge;
  readonly #workers = new Map<WorkerId, WorkerRecord>();

  constructor(knowledge: EntryKnowledge) {
    this.#knowledge = knowledge;
  }

  /** Records whether an attempt on a worker failed, and updates the worker's quarantine. */
  recordOutcome(worker: WorkerId, entry: EntryId, failed: boolean, now: Instant): void {
    const record = this.#record(worker);
    record.expected.add(this.#failureRateElsewhere(record, entry, now), now);
    record.failures.add(failed ? 1 : 0, now);
    if (record.quarantinedUntil !== undefined) {
      this.#endCanary(record, failed, now);
      return;
    }
    // Failures on a quarantined worker say nothing about the entry, so they are not counted for it.
    const outcomes = {failures: failed ? 1 : 0, runs: 1};
    this.#knowledge.addOutcomes(entry, outcomes, now);
    record.entryRates.add(entry, outcomes, now);
    if (failed && this.#excess(record, now) >= EXCESS_FAILURE_LIMIT) {
      this.#quarantine(record, INITIAL_QUARANTINE_MS, now);
    }
  }

  forget(worker: WorkerId): void {
    this.#workers.delete(worker);
  }

  /** Records that the canary task was placed on the worker. */
  startCanary(worker: WorkerId, attempt: AttemptId): void {
    this.#record(worker).canary = attempt;
  }

  /** Records that an attempt ended in a way that says nothing about its worker, such as an eviction. */
  dropCanary(worker: WorkerId, attempt: AttemptId): void {
    const record = this.#workers.get(worker);
    if (record?.canary === attempt) {
      record.canary = undefined;
    }
  }

  trust(worker: WorkerId, now: Instant): WorkerTrust {
    const record = this.#workers.get(worker);
    if (record?.quarantinedUntil === undefined) {
      return 'open';
    }
    return record.canary !== undefined || now < record.quarantinedUntil ? 'none' : 'canary';
  }

  #endCanary(record: WorkerRecord, failed: boolean, now: Instant): void {
    // Attempts started before the quarantine may end during it; only a canary's outcome counts.
    if (record.canary === undefined) {
      return;
    }
    record.canary = undefined;
    if (failed) {
      this.#quarantine(record, Math.min(record.quarantineMs * 2, MAX_QUARANTINE_MS), now);
      return;
    }
    record.quarantinedUntil = undefined;
    record.failures.add(-record.failures.value(now), now);
    record.expected.add(-record.expected.value(now), now);
  }

  #excess(record: WorkerRecord, now: Instant): number {
    return record.failures.value(now) - 2 * record.expected.value(now);
  }

  #failureRateElsewhere(record: WorkerRecord, entry: EntryId, now: Instant): number {
    const all = this.#knowledge.outcomes(entry, now);
    const own = record.entryRates.outcomes(entry, now);
    const runs = all.runs - own.runs;
    const failures = all.failures - own.failures;
    // Assumes one success, so that a first failure is not attributed to the entry.
    return Math.max(0, failures) / (Math.max(0, runs) + 1);
  }

  #quarantine(record: WorkerRecord, quarantineMs: number, now: Instant): void {
    record.quarantineMs = quarantineMs;
    record.quarantinedUntil = after(now, quarantineMs);
  }

  #record(worker: WorkerId): WorkerRecord {
    const known = this.#workers.get(worker);
    if (known) {
      return known;
    }
    const record: WorkerRecord = {
      canary: undefined,
      entryRates: new FailureRates(WORKER_ENTRY_LIMIT),
      expected: new DecayingCount(),
      failures: new DecayingCount(),
      quarantinedUntil: undefined,
      quarantineMs: INITIAL_QUARANTINE_MS,
    };
    this.#workers.set(worker, record);
    return record;
  }
}
