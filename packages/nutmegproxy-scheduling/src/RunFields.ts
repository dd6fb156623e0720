/** The event fields that identify runs. */

import type {EventFields, JobId, MinionId} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import {formatRunName, formatTaskName, parseTaskName} from '@nutmegproxy/jobs';

/** Maximum number of runs that a log line names, so that it fits into one write to a pipe. */
const MAX_NAMED_RUNS = 80;

/** Returns the event fields that identify a run. */
export function describeRun(run: Run): {job: JobId; minion: MinionId; run: number; task: string} {
  return {
    job: run.task.job,
    minion: run.minion,
    run: run.number,
    task: formatTaskName(run.task),
  };
}

/** Returns the event fields that name runs of a minion; of more than one event if there are many. */
export function describeRuns(minion: MinionId, runs: readonly Run[]): EventFields[] {
  const events: EventFields[] = [];
  for (let start = 0; start < runs.length; start += MAX_NAMED_RUNS) {
    const part = runs.slice(start, start + MAX_NAMED_RUNS);
    const named = part.map(({number, task}) => formatRunName(task, number)).join(' ');
    events.push({minion, named, runs: part.length});
  }
  return events;
}

/**
 * Returns the jobs whose runs are named in event fields of `describeRuns`.
 *
 * @example
 * findNamedJobs({named: '5c0e7a21d94b36f8.0.1.17/1001'}); // ['5c0e7a21d94b36f8']
 */
export function findNamedJobs({named}: EventFields): JobId[] {
  const names = typeof named === 'string' ? named.split(' ') : [];
  return names.flatMap((name) => parseTaskName(name.replace(/\/\d+$/, ''))?.job ?? []);
}
