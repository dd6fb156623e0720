/** The event fields that identify runs, and those that name many runs or jobs. */

import type {EventFields, JobId, MinionId} from '@nutmegproxy/core';
import type {JobState, Run} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import {formatRunName, formatTaskName} from '@nutmegproxy/jobs';

/** Maximum number of names in a log line, so that it fits into one write to a pipe. */
const MAX_NAMES = 80;
/** Matches the name of a run, or of a job with its status, up to the job's id. */
const NAMED_JOB = /^([0-9a-f]{16})[./]/;

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
  const names = runs.map(({number, task}) => formatRunName(task, number));
  return joinNames(names).map(({count, named}) => ({minion, named, runs: count}));
}

/**
 * Returns the event fields that name jobs, each as `JOB/STATUS/REVISION`; of more than one event if
 * there are many.
 *
 * @example
 * describeJobs([job]); // [{jobs: 1, named: '5c0e7a21d94b36f8/running/1620'}]
 */
export function describeJobs(jobs: readonly JobState[]): EventFields[] {
  const names = jobs.map(({id, revision, status}) => `${id}/${status}/${revision}`);
  return joinNames(names).map(({count, named}) => ({jobs: count, named}));
}

/**
 * Returns the jobs that are named in event fields of `describeJobs`, or whose runs are in those of
 * `describeRuns`.
 *
 * @example
 * findNamedJobs({named: '5c0e7a21d94b36f8.0.1.17/1001'}); // ['5c0e7a21d94b36f8']
 */
export function findNamedJobs({named}: EventFields): JobId[] {
  const names = typeof named === 'string' ? named.split(' ') : [];
  return names.flatMap((name) => {
    const id = NAMED_JOB.exec(name)?.[1];
    return id === undefined ? [] : [brand<JobId>(id)];
  });
}

/** Joins names to as few texts as fit into a log line each. */
function joinNames(names: readonly string[]): {count: number; named: string}[] {
  const texts: {count: number; named: string}[] = [];
  for (let start = 0; start < names.length; start += MAX_NAMES) {
    const part = names.slice(start, start + MAX_NAMES);
    texts.push({count: part.length, named: part.join(' ')});
  }
  return texts;
}
