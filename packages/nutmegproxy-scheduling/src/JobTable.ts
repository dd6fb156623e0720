/**
 * The jobs that the owner knows. Most of them are over and only kept for queries, so those that are open, and
 * those that may have trials or keep an advice policy, are indexed: rounds and listings pass over these often.
 */

import type {JobId} from '@nutmegproxy/core';
import type {JobState} from '@nutmegproxy/jobs';

export class JobTable extends Map<JobId, JobState> {
  /** Those that had not ended when they were added, and whose end was not recorded since. */
  readonly #open = new Set<JobState>();
  readonly #advised = new Set<JobState>();
  readonly #tried = new Set<JobState>();

  override clear(): void {
    super.clear();
    this.#advised.clear();
    this.#open.clear();
    this.#tried.clear();
  }

  override delete(id: JobId): boolean {
    const job = this.get(id);
    if (job !== undefined) {
      this.#advised.delete(job);
      this.#open.delete(job);
      this.#tried.delete(job);
    }
    return super.delete(id);
  }

  override set(id: JobId, job: JobState): this {
    this.delete(id);
    if (!job.isFinal) {
      this.#open.add(job);
    }
    this.#indexAdvice(job);
    if (job.mayHaveTrials) {
      this.#tried.add(job);
    }
    return super.set(id, job);
  }

  /**
   * Iterates over the jobs that have not ended, in the order in which they were added.
   *
   * @example
   * for (const job of fleet.jobs.open()) plan(job);
   */
  *open(): Generator<JobState> {
    for (const job of this.#open) {
      if (!job.isFinal) {
        yield job;
      }
    }
  }

  /** The jobs that have not ended and keep an advice policy whatever queues are configured. */
  get advised(): ReadonlySet<JobState> {
    return this.#advised;
  }

  /** Records the advice that the queue of a job needed when it was removed; null for none. */
  recordFormerAdvice(job: JobState, advice: JobState['formerAdvice']): void {
    job.formerAdvice = advice;
    this.#advised.delete(job);
    this.#indexAdvice(job);
  }

  /** Records that a job has ended; it never opens again. */
  recordEnd(job: JobState): void {
    this.#advised.delete(job);
    this.#open.delete(job);
  }

  /** Records that starts of suspected tasks are stored for a job. */
  recordTrial(job: JobState): void {
    job.mayHaveTrials = true;
    if (this.get(job.id) === job) {
      this.#tried.add(job);
    }
  }

  #indexAdvice(job: JobState): void {
    if (!job.isFinal && job.keptAdvice !== undefined) {
      this.#advised.add(job);
    }
  }

  /** The jobs, ended or not, for which starts of suspected tasks may be stored. */
  get tried(): ReadonlySet<JobState> {
    return this.#tried;
  }
}
