/** What ran on each worker at a past instant, so that late reports meet the right co-runners. */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';

/** Ended runs kept for each worker. */
const ENDED_LIMIT = 32;

/** One attempt's stay on a worker. */
export interface Run {
  readonly attempt: AttemptId;
  /** Share of the worker's processors that it used when last reported, 0 to 1. */
  cpuShare: number;
  endedAt: Instant | undefined;
  readonly entry: EntryId;
  readonly startedAt: Instant;
}

/** Present runs and the last ended ones of each worker. */
export class RunHistory {
  readonly #ended = new Map<WorkerId, Run[]>();
  readonly #present = new Map<WorkerId, Map<AttemptId, Run>>();

  add(worker: WorkerId, run: Run): void {
    const runs = this.#present.get(worker) ?? new Map<AttemptId, Run>();
    runs.set(run.attempt, run);
    this.#present.set(worker, runs);
  }

  /** Runs other than `attempt` that were on the worker at `instant`. */
  coRunners(worker: WorkerId, attempt: AttemptId, instant: Instant): readonly Run[] {
    const present = [...(this.#present.get(worker)?.values() ?? [])];
    const ended = this.#ended.get(worker) ?? [];
    return [...present, ...ended].filter(
      (run) =>
        run.attempt !== attempt &&
        run.startedAt <= instant &&
        (run.endedAt === undefined || run.endedAt > instant),
    );
  }

  end(worker: WorkerId, attempt: AttemptId, now: Instant): void {
    const run = this.#present.get(worker)?.get(attempt);
    if (!run) {
      return;
    }
    this.#present.get(worker)?.delete(attempt);
    run.endedAt = now;
    const ended = this.#ended.get(worker) ?? [];
    ended.push(run);
    this.#ended.set(worker, ended.slice(-ENDED_LIMIT));
  }

  forget(worker: WorkerId): void {
    this.#ended.delete(worker);
    this.#present.delete(worker);
  }

  present(worker: WorkerId): IterableIterator<Run> {
    return (this.#present.get(worker) ?? new Map<AttemptId, Run>()).values();
  }

  run(worker: WorkerId, attempt: AttemptId): Run | undefined {
    return this.#present.get(worker)?.get(attempt);
  }
}
