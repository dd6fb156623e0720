/** History of runs on each worker, to match delayed reports with the co-runners of their time. */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';

/** Maximum number of ended runs kept for each worker. */
const ENDED_RUNS_PER_WORKER = 32;

/** The run of one attempt on a worker. */
export interface Run {
  readonly attempt: AttemptId;
  /** Share of the worker's processors used at the last report, 0 to 1. */
  cpuShare: number;
  endedAt: Instant | undefined;
  readonly entry: EntryId;
  readonly startedAt: Instant;
}

/** Current runs and the most recently ended ones of each worker. */
export class RunHistory {
  readonly #ended = new Map<WorkerId, Run[]>();
  readonly #running = new Map<WorkerId, Map<AttemptId, Run>>();

  add(worker: WorkerId, run: Run): void {
    const runs = this.#running.get(worker) ?? new Map<AttemptId, Run>();
    runs.set(run.attempt, run);
    this.#running.set(worker, runs);
  }

  /** Returns the runs other than `attempt` that were active on the worker at `instant`. */
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
