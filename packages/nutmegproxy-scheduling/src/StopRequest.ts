/** Requests to stop runs, and the event fields that identify a run. */

import type {JobId, MinionId} from '@nutmegproxy/core';
import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

/** Why a run is stopped. */
export type StopReason =
  | 'cancelled'
  | 'duplicate'
  | 'evacuated'
  | 'gang-broken'
  | 'interference'
  | 'job-over'
  | 'stalled'
  | 'unknown';

/** A request to stop a run, which need not be known to this owner. */
export interface StopRequest {
  readonly minion: MinionId;
  readonly number: RunNumber;
  readonly reason: StopReason;
  readonly task: TaskRef;
}

/** Returns the event fields that identify a run. */
export function describeRun(run: Run): {job: JobId; minion: MinionId; run: number; task: string} {
  return {
    job: run.task.job,
    minion: run.minion,
    run: run.number,
    task: formatTaskName(run.task),
  };
}
