/** Logs the minions that have not been trusted for a long time, with what they run. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import {formatRunName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {findUnavailability} from './MinionAvailability.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Time in milliseconds from which a minion that is not trusted is logged. */
const MIN_UNTRUSTED_MS = 15_000;
/** Minimum time in milliseconds between two lines about a minion. */
const REPEAT_INTERVAL_MS = 10_000;
/** Minimum time in milliseconds between two reviews of all minions. */
const REVIEW_INTERVAL_MS = 500;
/** Maximum number of lines of one review. */
const MAX_LINES = 10;
/** Maximum number of runs that a line names. */
const MAX_NAMED_RUNS = 5;

interface Distrust {
  recordedAt: Instant | undefined;
  readonly since: Instant;
}

/** Names a few runs, those of long-running tasks first, since these may never end. */
function nameRuns(runs: Iterable<Run>): string {
  return [...runs]
    .sort((a, b) => Number(b.step.shape.longRunning) - Number(a.step.shape.longRunning))
    .slice(0, MAX_NAMED_RUNS)
    .map(({number, task}) => formatRunName(task, number))
    .join(' ');
}

/**
 * @example
 * const log = new UntrustedMinionLog();
 * log.review(fleet, now);
 */
export class UntrustedMinionLog {
  #distrust = new Map<MinionId, Distrust>();
  #reviewedAt = -Infinity;

  /** Reviews all minions and logs those that have not been trusted for some time. */
  review(fleet: Fleet, now: Instant): void {
    if (now - this.#reviewedAt < REVIEW_INTERVAL_MS) {
      return;
    }
    this.#reviewedAt = now;
    const distrust = new Map<MinionId, Distrust>();
    let lines = 0;
    for (const minion of fleet.minions.values()) {
      if (minion.trust.level(now) === 'trusted') {
        continue;
      }
      const known = this.#distrust.get(minion.id) ?? {recordedAt: undefined, since: now};
      distrust.set(minion.id, known);
      const isRepeated = now - (known.recordedAt ?? -Infinity) < REPEAT_INTERVAL_MS;
      if (now - known.since < MIN_UNTRUSTED_MS || isRepeated || lines >= MAX_LINES) {
        continue;
      }
      lines += 1;
      known.recordedAt = now;
      this.#record(fleet, minion, known.since, now);
    }
    this.#distrust = distrust;
  }

  #record(fleet: Fleet, minion: MinionState, since: Instant, now: Instant): void {
    fleet.events.record(SCHEDULING_EVENTS.MINION_UNTRUSTED, {
      level: minion.trust.level(now),
      minion: minion.id,
      named: nameRuns(minion.runs),
      passedOver: findUnavailability(minion, now),
      runs: minion.runs.size,
      servingRuns: minion.servingRuns,
      untrustedMs: Math.round(now - since),
    });
  }
}
