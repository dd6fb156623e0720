/** Ejects minions that fail more often than their peers, and probes them one request at a time. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {
  MOVING_MEAN_WEIGHT,
  OUTLIER_EJECTED_SHARE_MAX,
  OUTLIER_EJECTION_MAX_MS,
  OUTLIER_EJECTION_MS,
  OUTLIER_FAILURE_RATE_MARGIN,
  OUTLIER_MIN_SAMPLES,
  OUTLIER_MINIONS_MAX,
  OUTLIER_PROBE_TIMEOUT_MS,
} from './AdmissionConstants.ts';

interface MinionHealth {
  ejectedUntil: Instant | undefined;
  ejections: number;
  failureRate: number;
  probeEndsAt: Instant | undefined;
  samples: number;
}

/** Tracks the failure rates of one service's minions. */
export class OutlierTracker {
  #ejected = 0;
  readonly #minions = new Map<MinionId, MinionHealth>();

  /** Returns whether the minion may be given a request. */
  allows(minion: MinionId, now: Instant): boolean {
    const health = this.#minions.get(minion);
    if (health?.ejectedUntil === undefined) {
      return true;
    }
    const isProbing = health.probeEndsAt !== undefined && now < health.probeEndsAt;
    return now >= health.ejectedUntil && !isProbing;
  }

  forget(minion: MinionId): void {
    if (this.isEjected(minion)) {
      this.#ejected -= 1;
    }
    this.#minions.delete(minion);
  }

  isEjected(minion: MinionId): boolean {
    return this.#minions.get(minion)?.ejectedUntil !== undefined;
  }

  /** Records a result; returns whether it ejected the minion or ended its ejection. */
  record(minion: MinionId, succeeded: boolean, now: Instant): 'ejected' | 'returned' | undefined {
    const health = this.#health(minion);
    if (health.ejectedUntil !== undefined) {
      return this.#endProbe(health, succeeded, now);
    }
    const failed = succeeded ? 0 : 1;
    health.samples += 1;
    const weight = Math.max(MOVING_MEAN_WEIGHT, 1 / health.samples);
    health.failureRate += weight * (failed - health.failureRate);
    if (!this.#isOutlier(minion, health)) {
      return undefined;
    }
    this.#ejected += 1;
    eject(health, now);
    return 'ejected';
  }

  /** Records that a request was given to the minion; for an ejected minion it is the probe. */
  start(minion: MinionId, now: Instant): void {
    const health = this.#minions.get(minion);
    if (health?.ejectedUntil !== undefined) {
      health.probeEndsAt = after(now, OUTLIER_PROBE_TIMEOUT_MS);
    }
  }

  #endProbe(health: MinionHealth, succeeded: boolean, now: Instant): 'returned' | undefined {
    if (health.probeEndsAt === undefined) {
      // The request was sent before the ejection.
      return undefined;
    }
    if (!succeeded) {
      eject(health, now);
      return undefined;
    }
    this.#ejected -= 1;
    health.ejectedUntil = undefined;
    health.probeEndsAt = undefined;
    health.failureRate = 0;
    health.samples = 0;
    return 'returned';
  }

  #health(minion: MinionId): MinionHealth {
    const known = this.#minions.get(minion);
    if (known !== undefined) {
      return known;
    }
    const [oldest] = this.#minions.keys();
    if (this.#minions.size >= OUTLIER_MINIONS_MAX && oldest !== undefined) {
      this.forget(oldest);
    }
    const health: MinionHealth = {
      ejectedUntil: undefined,
      ejections: 0,
      failureRate: 0,
      probeEndsAt: undefined,
      samples: 0,
    };
    this.#minions.set(minion, health);
    return health;
  }

  #isOutlier(minion: MinionId, health: MinionHealth): boolean {
    if (health.samples < OUTLIER_MIN_SAMPLES) {
      return false;
    }
    const peers = [...this.#minions].filter(
      ([id, each]) => id !== minion && each.ejectedUntil === undefined && each.samples > 0,
    );
    const sum = peers.reduce((total, [, each]) => total + each.failureRate, 0);
    const mean = peers.length === 0 ? 1 : sum / peers.length;
    const mayEject = (this.#ejected + 1) / this.#minions.size <= OUTLIER_EJECTED_SHARE_MAX;
    return mayEject && health.failureRate > mean + OUTLIER_FAILURE_RATE_MARGIN;
  }
}

function eject(health: MinionHealth, now: Instant): void {
  const ejectionMs = OUTLIER_EJECTION_MS * 2 ** Math.min(10, health.ejections);
  health.ejectedUntil = after(now, Math.min(OUTLIER_EJECTION_MAX_MS, ejectionMs));
  health.ejections += 1;
  health.probeEndsAt = undefined;
}
