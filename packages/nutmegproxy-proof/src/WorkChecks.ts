/** Checks of what runs on workers and minions. */

import type {AttemptRun, History, MinionSize, WorkerSize} from './History.ts';
import type {HistoryCheck, Violation} from './Violation.ts';

import {computePeakTotal, getEnd, groupBy, sortByStart} from './CheckUtils.ts';

const RESOURCES = ['accelerators', 'cpu', 'memoryMb'] as const;
/** Tolerance for rounding when sums are compared. */
const ROUNDING_TOLERANCE = 1e-6;

function checkWorker(worker: WorkerSize, history: History): readonly Violation[] {
  const attempts = history.attempts.filter((attempt) => attempt.worker === worker.worker);
  return RESOURCES.flatMap((resource): Violation[] => {
    const capacity = worker.capacity[resource] + ROUNDING_TOLERANCE;
    const highest = computePeakTotal(attempts, ({needed}) => needed[resource]);
    const largest = Math.max(0, ...attempts.map(({reserved}) => reserved[resource]));
    const message = `worker ${worker.worker} was given ${highest} of ${worker.capacity[resource]} ${resource}`;
    return highest > capacity || largest > capacity ? [{invariant: 'capacity', message}] : [];
  });
}

function checkMinion(minion: MinionSize, history: History): readonly Violation[] {
  const runs = history.minionRuns.filter((run) => run.minion === minion.minion);
  const highest = computePeakTotal(runs, () => 1);
  const message = `minion ${minion.minion} had ${highest} requests in ${minion.slots} slots`;
  return highest > minion.slots ? [{invariant: 'capacity', message}] : [];
}

/** No worker or minion is assigned more work than its capacity. */
export const checkCapacity: HistoryCheck = (history) => [
  ...history.workers.flatMap((worker) => checkWorker(worker, history)),
  ...history.minions.flatMap((minion) => checkMinion(minion, history)),
];

function checkTaskOverlap(task: string, attempts: readonly AttemptRun[]): readonly Violation[] {
  const sorted = sortByStart(attempts);
  return sorted.flatMap((attempt, index): Violation[] => {
    const overlapping = sorted
      .slice(0, index)
      .find((earlier) => getEnd(earlier) > attempt.startedAt);
    if (overlapping === undefined) {
      return [];
    }
    const places = `${overlapping.attempt} on ${overlapping.worker} and ${attempt.attempt} on ${attempt.worker}`;
    return [{invariant: 'one-place', message: `task ${task} ran concurrently as ${places}`}];
  });
}

/** No two attempts of a task overlap. */
export const checkOnePlace: HistoryCheck = (history) =>
  [...groupBy(history.attempts, ({task}) => task)].flatMap(([task, attempts]) =>
    checkTaskOverlap(task, attempts),
  );

function checkTaskResumes(
  task: string,
  attempts: readonly AttemptRun[],
  history: History,
): readonly Violation[] {
  const violations: Violation[] = [];
  const report = (message: string): void => {
    violations.push({invariant: 'resume-once', message: `task ${task} ${message}`});
  };
  let checkpointMs = 0;
  let isAwaitingResume = false;
  let succeeded = 0;
  for (const {attempt, doneMs, endState, resumedFromMs} of sortByStart(attempts)) {
    if (resumedFromMs !== checkpointMs) {
      report(`resumed in ${attempt} from ${resumedFromMs} ms, not from ${checkpointMs} ms`);
    }
    if (succeeded > 0) {
      report(`started again in ${attempt} after it had succeeded`);
    }
    succeeded += endState === 'succeeded' ? 1 : 0;
    isAwaitingResume = endState === 'checkpointed';
    checkpointMs = isAwaitingResume ? (doneMs ?? 0) : checkpointMs;
  }
  if (isAwaitingResume && history.settled && !history.cancelledTasks.includes(task)) {
    report('was evicted and never resumed');
  }
  return violations;
}

/** An evicted task resumes exactly once, from its newest checkpoint, and succeeds at most once. */
export const checkResumeOnce: HistoryCheck = (history) =>
  [...groupBy(history.attempts, ({task}) => task)].flatMap(([task, attempts]) =>
    checkTaskResumes(task, attempts, history),
  );
