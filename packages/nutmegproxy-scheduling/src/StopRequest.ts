/** Orders to stop runs, and how events name a run. */

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

/** An order to stop a run, also one that is not in the books. */
export interface StopRequest {
  readonly minion: MinionId;
  readonly number: RunNumber;
  readonly reason: StopReason;
  readonly task: TaskRef;
}

/** Fields of an event that name a run. */
export function describeRun(run: Run): {job: JobId; minion: MinionId; run: number; task: string} {
  return {
    job: run.task.job,
    minion: run.minion,
    run: run.number,
    task: formatTaskName(run.task),
  };
}
