/** What ran on each worker at a past instant, so that late reports meet the right co-runners. */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';

/** Ended runs kept for each worker. */
const ENDED_RUNS_PER_WORKER = 32;

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
  readonly #running = new Map<WorkerId, Map<AttemptId, Run>>();

  add(worker: WorkerId, run: Run): void {
    const runs = this.#running.get(worker) ?? new Map<AttemptId, Run>();
    runs.set(run.attempt, run);
    this.#running.set(worker, runs);
  }

  /** Runs other than `attempt` that were on the worker at `instant`. */
  coRunners(worker: WorkerId, attempt: AttemptId, instant: Instant): readonly Run[] {
    const running = [...(this.#running.get(worker)?.values() ?? [])];
    const ended = this.#ended.get(worker) ?? [];
    return [...running, ...ended].filter(
      (run) =>
        run.attempt !== attempt &&
        run.startedAt <= instant &&
        (run.endedAt === undefined || run.endedAt > instant),
    );
  }

  end(worker: WorkerId, attempt: AttemptId, now: Instant): void {
    const run = this.#running.get(worker)?.get(attempt);
    if (!run) {
      return;
    }
    this.#running.get(worker)?.delete(attempt);
    run.endedAt = now;
    const ended = this.#ended.get(worker) ?? [];
    ended.push(run);
    this.#ended.set(worker, ended.slice(-ENDED_RUNS_PER_WORKER));
  }

  forget(worker: WorkerId): void {
    this.#ended.delete(worker);
    this.#running.delete(worker);
  }

  running(worker: WorkerId): IterableIterator<Run> {
    return (this.#running.get(worker) ?? new Map<AttemptId, Run>()).values();
  }

  run(worker: WorkerId, attempt: AttemptId): Run | undefined {
    return this.#running.get(worker)?.get(attempt);
  }
}
