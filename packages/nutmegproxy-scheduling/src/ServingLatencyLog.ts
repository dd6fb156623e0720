/**
 * Logs the serving tasks that are near or over their targets beside backfill: since when, how old that report is, and
 * why the backfill works on.
 */

import type {EventFields, Instant, MinionId} from '@nutmegproxy/core';

import {formatRunName, formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {ExposedMinion, SharingPolicy} from './SharingPolicy.ts';

import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Time in milliseconds for which a tail latency may have been near its target from which it is logged. */
const MIN_EXPOSURE_MS = 2_000;
/** Minimum time in milliseconds between two lines about a minion. */
const REPEAT_INTERVAL_MS = 1_000;
/** Minimum time in milliseconds between two reviews of all minions. */
const REVIEW_INTERVAL_MS = 250;
/** Maximum number of lines of one review. */
const MAX_LINES = 10;
/** Maximum number of runs that a line names. */
const MAX_NAMED_RUNS = 10;

type ExposedRun = ExposedMinion['backfill'][number];

/** Returns why a run works beside the tasks, with the time in milliseconds since then. */
function describeReason({harmlessAt, run, toleratedSince}: ExposedRun, now: Instant): string {
  if (run.phase === 'stopping') {
    return 'stopping';
  }
  if (toleratedSince === undefined) {
    return run.isAdopted === true ? 'adopted' : 'placed';
  }
  const turn = `turn=${Math.round(now - toleratedSince)}`;
  return harmlessAt === undefined ? turn : `${turn}/harmless=${Math.round(now - harmlessAt)}`;
}

function describe(
  minion: MinionState,
  {affected, backfill, firstReportAt, nearSince, since}: ExposedMinion,
  now: Instant,
): EventFields {
  const named = backfill.slice(0, MAX_NAMED_RUNS).map((exposed) => {
    const {number, percent, sentAt, task} = exposed.run;
    const reason = describeReason(exposed, now);
    return `${formatRunName(task, number)}/${reason}/percent=${percent}/ms=${Math.round(now - sentAt)}`;
  });
  return {
    backfill: backfill.length,
    firstReportMs: Math.round(now - firstReportAt),
    job: affected.task.job,
    minion: minion.id,
    named: named.join(' '),
    nearMs: Math.round(now - nearSince),
    reportAgeMs: Math.round(now - (minion.lastAnswerAt ?? firstReportAt)),
    sinceMs: since === -Infinity ? undefined : Math.round(now - since),
    tailMs: affected.reading,
    targetMs: affected.step.shape.tailTargetMs,
    task: formatTaskName(affected.task),
  };
}

/**
 * @example
 * const log = new ServingLatencyLog();
 * log.review(fleet, sharing, now);
 */
export class ServingLatencyLog {
  #recordedAt = new Map<MinionId, Instant>();
  #reviewedAt = -Infinity;

  /** Reviews all minions with backfill beside serving tasks. */
  review(fleet: Fleet, sharing: Pick<SharingPolicy, 'describeExposure'>, now: Instant): void {
    if (now - this.#reviewedAt < REVIEW_INTERVAL_MS) {
      return;
    }
    this.#reviewedAt = now;
    const recordedAt = new Map<MinionId, Instant>();
    let lines = 0;
    for (const minion of fleet.minions.values()) {
      const exposed = minion.servingRuns > 0 ? sharing.describeExposure(minion) : undefined;
      if (exposed === undefined) {
        continue;
      }
      const lastAt = this.#recordedAt.get(minion.id);
      const isRepeated = lastAt !== undefined && now - lastAt < REPEAT_INTERVAL_MS;
      const isLogged = now - exposed.since >= MIN_EXPOSURE_MS && !isRepeated && lines < MAX_LINES;
      if (isLogged) {
        lines += 1;
        fleet.events.record(SCHEDULING_EVENTS.SERVING_NEAR_TARGET, describe(minion, exposed, now));
      }
      const at = isLogged ? now : lastAt;
      if (at !== undefined) {
        recordedAt.set(minion.id, at);
      }
    }
    this.#recordedAt = recordedAt;
  }
}
