/** What the callers of each queue got in a simulation. */

import type {QueueId} from '@nutmegproxy/jobs';

import {classifyPunctuality} from '@nutmegproxy/scheduling';

import type {JobHistory, SimulationResult} from './FleetSimulation.ts';

/** Mean share of what they are owed that jobs get, by the size of the job. */
export interface SizeReport {
  readonly all: number;
  /** Of the tenth of the jobs with the most work. */
  readonly largestTenth: number;
  /** Of the fifth of the jobs below that. */
  readonly nextFifth: number;
}

/** Jobs of one queue; a share is of the work of all its jobs in core-seconds. */
export interface QueueReport {
  readonly jobs: number;
  readonly lateShare: number;
  readonly onTimeShare: number;
  /** Share of the time owed for which tasks of long-running jobs were at work. */
  readonly servedShare: number;
  readonly sizes: SizeReport;
}

function computeObjectiveMs({job: {jobClass, taskMs}}: JobHistory): number {
  const {stretch, targetDurationMs} = jobClass.policy;
  return taskMs.reduce((sum, each) => sum + each, 0) * stretch + targetDurationMs;
}

function computeWork({job: {request, taskMs}}: JobHistory): number {
  return request.steps.reduce(
    (sum, {count, resources}, step) => sum + count * resources.cpuMilli * (taskMs[step] ?? 0),
    0,
  );
}

function sumOwedTaskMs({job: {arrivesMs, request}}: JobHistory, endMs: number): number {
  return (request.steps[0]?.count ?? 0) * (endMs - arrivesMs);
}

/** Returns the share of the owed time of a long-running job, or whether another job is completed. */
function computeJobShare(history: JobHistory, endMs: number): number {
  return history.job.jobClass.longRunning
    ? history.servedTaskMs / sumOwedTaskMs(history, endMs)
    : Number(history.completedMs !== undefined);
}

function reportSizes(histories: readonly JobHistory[], endMs: number): SizeReport {
  const shares = [...histories]
    .sort((a, b) => computeWork(b) - computeWork(a))
    .map((history) => computeJobShare(history, endMs));
  const tenth = Math.ceil(shares.length / 10);
  const average = (part: readonly number[]): number =>
    part.reduce((sum, share) => sum + share, 0) / part.length;
  return {
    all: average(shares),
    largestTenth: average(shares.slice(0, tenth)),
    nextFifth: average(shares.slice(tenth, 3 * tenth)),
  };
}

function reportQueue(histories: readonly JobHistory[], endMs: number): QueueReport {
  let work = 0;
  let onTime = 0;
  let late = 0;
  let servedMs = 0;
  let owedMs = 0;
  for (const history of histories) {
    const jobWork = computeWork(history);
    const punctuality = classifyPunctuality({
      elapsedMs: (history.completedMs ?? Infinity) - history.job.arrivesMs,
      objectiveMs: computeObjectiveMs(history),
      remainingMs: 0,
    });
    work += jobWork;
    onTime += punctuality === 'on-time' ? jobWork : 0;
    late += punctuality === 'late' ? jobWork : 0;
    servedMs += history.servedTaskMs;
    owedMs += sumOwedTaskMs(history, endMs);
  }
  return {
    jobs: histories.length,
    lateShare: late / work,
    onTimeShare: onTime / work,
    servedShare: servedMs / owedMs,
    sizes: reportSizes(histories, endMs),
  };
}

/**
 * Returns a report for each queue of a simulation that ended at `endMs`.
 *
 * @example
 * reportQueues(simulation.run(), 40_000).get('match-alert' as QueueId)?.onTimeShare; // 0.97
 */
export function reportQueues(
  {histories}: SimulationResult,
  endMs: number,
): ReadonlyMap<QueueId, QueueReport> {
  const byQueue = new Map<QueueId, JobHistory[]>();
  for (const history of histories) {
    const {queue} = history.job.request;
    byQueue.set(queue, [...(byQueue.get(queue) ?? []), history]);
  }
  return new Map([...byQueue].map(([queue, jobs]) => [queue, reportQueue(jobs, endMs)]));
}
