/**
 * Statistics of entries: sizes, run times, failure rates and interference. All cells of a process
 * share one instance, and peers exchange summaries of new data. Reservations are not included.
 */

import type {EntryId, Instant} from '@nutmegproxy/core';
import type {EntrySummary, KnowledgeSummary, Resources} from '@nutmegproxy/schema';

import {LRUCache} from 'lru-cache';

import type {Outcomes} from './FailureRates.ts';

import {EntryEstimate} from './EntryEstimate.ts';
import {FailureRates} from './FailureRates.ts';
import {Interference} from './Interference.ts';

/** Maximum number of entries; the least recently used one is dropped first. */
const ENTRY_LIMIT = 20_000;
/** Maximum number of entries with data not yet sent to peers. */
const UNSENT_LIMIT = 2048;
/** Limits of one summary; must match the schema. */
const ENTRIES_PER_SUMMARY = 64;
const PAIRS_PER_SUMMARY = 128;
/** Maximum sample count of a peer's summary, so that later samples can correct a wrong one. */
const MAX_SUMMARY_COUNT = 32;

interface UnsentEntry {
  readonly estimate: EntryEstimate;
  failures: number;
  runs: number;
}

/** Entry statistics shared by the cells of one process. */
export class EntryKnowledge {
  readonly interference = new Interference();
  readonly #estimates = new LRUCache<EntryId, EntryEstimate>({max: ENTRY_LIMIT});
  readonly #failures = new FailureRates(ENTRY_LIMIT);
  readonly #unsent = new LRUCache<EntryId, UnsentEntry>({max: UNSENT_LIMIT});

  /** Adds the outcomes of ended attempts. */
  addOutcomes(entry: EntryId, outcomes: Outcomes, now: Instant): void {
    this.#failures.add(entry, outcomes, now);
    const unsent = this.#unsentOf(entry);
    unsent.failures += outcomes.failures;
    unsent.runs += outcomes.runs;
  }

  /** Adds the first reported usage of an attempt. */
  addFirstUsage(entry: EntryId, cpu: number, memoryMb: number): void {
    this.#estimate(entry).addFirstUsage(cpu, memoryMb);
    this.#unsentOf(entry).estimate.addFirstUsage(cpu, memoryMb);
  }

  addUsageIncrease(entry: EntryId, cpu: number, memoryMb: number): void {
    this.#estimate(entry).addUsageIncrease(cpu, memoryMb);
    this.#unsentOf(entry).estimate.addUsageIncrease(cpu, memoryMb);
  }

  addRunTime(entry: EntryId, runTimeMs: number): void {
    this.#estimate(entry).addRunTime(runTimeMs);
    this.#unsentOf(entry).estimate.addRunTime(runTimeMs);
  }

  /** Merges a peer's summary, which is not forwarded to other peers. */
  merge({entries, pairs}: KnowledgeSummary, now: Instant): void {
    for (const summary of entries) {
      const entry = summary.entry as EntryId;
      this.#estimate(entry).merge({
        cpu: limitCount(summary.cpu),
        logRunTime: limitCount(summary.logRunTime),
        memoryMb: limitCount(summary.memoryMb),
      });
      const {failures, runs} = summary;
      this.#failures.add(entry, {failures: Math.min(failures, runs), runs}, now);
    }
    for (const pair of pairs) {
      this.interference.merge(pair, now);
    }
  }

  outcomes(entry: EntryId, now: Instant): Outcomes {
    return this.#failures.outcomes(entry, now);
  }

  /** Returns the expected size of a task of the entry; never below the declared size. */
  expectedSize(entry: EntryId, declared: Resources): Resources {
    return this.#estimate(entry).expectedSize(declared);
  }

  reservation(entry: EntryId, declared: Resources, largest: Resources): Resources {
    return this.#estimate(entry).reservation(declared, largest);
  }

  runTimeMs(entry: EntryId, declaredMs: number): number {
    return this.#estimate(entry).runTimeMs(declaredMs);
  }

  /**
   * Returns the full statistics of the most recently used entries and pairs, for a peer that has
   * just started.
   */
  recentSummary(now: Instant): KnowledgeSummary {
    const entries = [...this.#estimates.entries()]
      .slice(0, ENTRIES_PER_SUMMARY)
      .map(([entry, estimate]) => ({
        entry,
        ...this.#failures.outcomes(entry, now),
        ...estimate.summary(),
      }));
    return {entries, pairs: this.interference.recentPairs(PAIRS_PER_SUMMARY)};
  }

  /**
   * Removes and returns data not yet sent to peers, up to the limits of one message; undefined when
   * there is none.
   *
   * @example
   * const summary = knowledge.takeUnsent();
   */
  takeUnsent(): KnowledgeSummary | undefined {
    const pairs = this.interference.takeUnsent(PAIRS_PER_SUMMARY);
    const entries = [...this.#unsent.entries()]
      .slice(0, ENTRIES_PER_SUMMARY)
      .map(([entry, {estimate, failures, runs}]): EntrySummary => {
        this.#unsent.delete(entry);
        return {entry, failures, runs, ...estimate.summary()};
      });
    return entries.length + pairs.length > 0 ? {entries, pairs} : undefined;
  }

  #estimate(entry: EntryId): EntryEstimate {
    const known = this.#estimates.get(entry) ?? new EntryEstimate();
    this.#estimates.set(entry, known);
    return known;
  }

  #unsentOf(entry: EntryId): UnsentEntry {
    const unsent = this.#unsent.get(entry) ?? {estimate: new EntryEstimate(), failures: 0, runs: 0};
    this.#unsent.set(entry, unsent);
    return unsent;
  }
}

function limitCount(series: EntrySummary['cpu']): EntrySummary['cpu'] {
  return {...series, count: Math.min(series.count, MAX_SUMMARY_COUNT)};
}
