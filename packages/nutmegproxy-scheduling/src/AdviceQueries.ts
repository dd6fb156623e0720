/** Chooses what the advising service is asked next. */

import type {Instant, PlatformBounds, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';

import type {AdviceCache, AdviceQuery} from './AdviceCache.ts';
import type {Fleet} from './Fleet.ts';

import {findIdleSteps, findOverdueSteps, listUntrustedMinions} from './OverdueSteps.ts';
import {deriveMaxWait} from './PendingBounds.ts';
import {isSchedulable} from './Placement.ts';
import {isReady} from './ReadySteps.ts';

/** Time in milliseconds before a step is overdue at which it is asked for: several calls may be made before its own. */
const OVERDUE_LEAD_MS = 2_000;

/** Limits of the platform and the present time. */
export interface AdviceContext {
  readonly bounds: Pick<PlatformBounds, 'finishMs'>;
  readonly now: Instant;
  readonly wall: WallTime;
}

interface AdvisedSteps {
  /** Steps whose earlier steps have not ended. */
  readonly later: readonly StepState[];
  readonly ready: readonly StepState[];
}

/** Lists the open steps of queues that need advice. */
function listAdvisedSteps(fleet: Fleet, wall: WallTime): AdvisedSteps {
  const later: StepState[] = [];
  const ready: StepState[] = [];
  for (const job of fleet.jobs.open()) {
    if (fleet.resolveQueuePolicy(job).advice === undefined) {
      continue;
    }
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps) {
        (isReady(step, steps) ? ready : later).push(step);
      }
    }
  }
  return {later, ready};
}

/**
 * Returns the next call; undefined when all that is needed is known. Steps whose earlier steps have ended come
 * before the others. Steps that will be overdue have waited longest, and are asked for minions that are not trusted too.
 *
 * @example
 * const query = chooseAdviceQuery(cache, fleet, {bounds, now, wall});
 */
export function chooseAdviceQuery(
  cache: AdviceCache,
  fleet: Fleet,
  {bounds, now, wall}: AdviceContext,
): AdviceQuery | undefined {
  const {later, ready} = listAdvisedSteps(fleet, wall);
  const schedulable = [...fleet.minions.values()].filter((minion) => isSchedulable(minion, now));
  const overdue = [findOverdueSteps, findIdleSteps].flatMap((find) =>
    find(fleet, ready, deriveMaxWait(bounds), after(now, OVERDUE_LEAD_MS)),
  );
  const untrusted = overdue.length === 0 ? [] : listUntrustedMinions(fleet, now);
  const forOverdue = cache.chooseQuery(fleet, overdue, [...schedulable, ...untrusted], now);
  const forReady =
    cache.chooseQuery(fleet, ready, schedulable, now) ??
    cache.chooseQuery(fleet, later, schedulable, now);
  // Otherwise an overdue step whose calls fail would keep all others from being asked for.
  const isReadyFirst =
    forOverdue !== undefined &&
    forReady !== undefined &&
    cache.findWaitStart(forReady.step) < cache.findWaitStart(forOverdue.step);
  return isReadyFirst ? forReady : (forOverdue ?? forReady);
}
