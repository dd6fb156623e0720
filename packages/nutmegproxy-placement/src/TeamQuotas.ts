/** Reservations of each team, limited by the share of its quota that this entry VM may use. */

import type {TeamId} from '@nutmegproxy/core';
import type {Quota, Resources} from '@nutmegproxy/schema';

import type {PlacedAttempt, PlacementDecision, PlacementRequest} from './Placement.ts';

import {addResources, fitsInto, NO_RESOURCES, subtractResources} from './ResourcesUtils.ts';

/** Whether a request fits into its team's quota now, may fit later, or can never fit. */
export type QuotaStatus = 'exceeded' | 'never' | 'within';

/** Decisions on requests that exceed their team's quota, the same for every policy. */
export const QUOTA_DECISIONS: Readonly<Record<Exclude<QuotaStatus, 'within'>, PlacementDecision>> =
  {
    exceeded: {kind: 'wait', reason: "the team's quota is used up"},
    never: {kind: 'impossible', reason: "the task is larger than its team's quota"},
  };

/** Tracks the use of the teams' quotas; a team without a quota is not limited. */
export class TeamQuotas {
  readonly #reserved = new Map<TeamId, Resources>();
  #shares: ReadonlyMap<TeamId, Quota> = new Map();

  add(attempt: PlacedAttempt): void {
    this.#reserved.set(attempt.team, addResources(this.reserved(attempt.team), attempt.reserved));
  }

  reserved(team: TeamId): Resources {
    return this.#reserved.get(team) ?? NO_RESOURCES;
  }

  remove(attempt: PlacedAttempt): void {
    this.#reserved.set(
      attempt.team,
      subtractResources(this.reserved(attempt.team), attempt.reserved),
    );
  }

  setShares(shares: ReadonlyMap<TeamId, Quota>): void {
    this.#shares = shares;
  }

  status(request: PlacementRequest, amount: Resources): QuotaStatus {
    const quota = this.#shares.get(request.team);
    if (!quota) {
      return 'within';
    }
    const limit = toLimit(quota);
    if (!fitsInto(request.declared, limit)) {
      return 'never';
    }
    return fitsInto(addResources(this.reserved(request.team), amount), limit)
      ? 'within'
      : 'exceeded';
  }
}

function toLimit(quota: Quota): Resources {
  return {
    accelerators: quota.accelerators ?? Infinity,
    cpu: quota.cpu ?? Infinity,
    memoryMb: quota.memoryMb ?? Infinity,
  };
}
