/** What a round of planning is given. */

import type {WallTime} from '@nutmegproxy/core';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {SharingCosts} from './Placement.ts';
import type {PlanSweep} from './PlanSweep.ts';
import type {PermissionContext} from './StartPermissions.ts';

export interface PlanContext extends PermissionContext {
  /** Most starts of deferrable work in this round; absent when they are not limited. */
  readonly deferrableStarts?: number;
  readonly estimator: DurationEstimator;
  /** Time in milliseconds in which accepted work with free room has to run; absent for its default. */
  readonly finishMs?: number;
  /** Whether so many starts wait to be sent that no deferrable work is started; default: they don't. */
  readonly isBacklogged?: boolean;
  /** Whether the time for placement in this round, or a share of it, is used up; absent when it is not limited. */
  readonly isTimeUp?: (share?: number) => boolean;
  readonly sharingCosts: SharingCosts;
  /** The pass over the steps that this round continues; required where the time is limited. */
  readonly sweep?: PlanSweep;
  readonly wall: WallTime;
}
