/** Requests to stop runs. */

import type {MinionId} from '@nutmegproxy/core';
import type {RunNumber, TaskRef} from '@nutmegproxy/jobs';

/** Why a run is stopped. */
export type StopReason =
  | 'cancelled'
  | 'displaced'
  | 'duplicate'
  | 'evacuated'
  | 'gang-broken'
  | 'interference'
  | 'job-over'
  | 'minion-crashed'
  | 'over-capacity'
  | 'stalled'
  | 'unknown';

/** A request to stop a run, which need not be known to this owner. */
export interface StopRequest {
  readonly minion: MinionId;
  readonly number: RunNumber;
  readonly reason: StopReason;
  readonly task: TaskRef;
}
