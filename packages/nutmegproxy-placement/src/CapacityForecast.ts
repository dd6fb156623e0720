/** Forecasts a worker's free capacity from the predicted run times of its attempts. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {RunTimePrediction} from './EvictionPlanner.ts';
import type {PlacedAttempt} from './Placement.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {addResources, fitsInto} from './ResourcesUtils.ts';

/** An attempt with its predicted run time. */
export interface PredictedAttempt {
  readonly attempt: PlacedAttempt;
  readonly runTimeMs: number;
}

/**
 * Returns the milliseconds until `amount` fits into the free capacity as attempts end one after the
 * other, or Infinity when it does not fit even after the last one.
 *
 * @example
 * timeToFitMs(amount, load.free, attempts, now); // 1500
 */
export function timeToFitMs(
  amount: Resources,
  free: Resources,
  attempts: readonly PredictedAttempt[],
  now: Instant,
): number {
  let available = free;
  if (fitsInto(amount, available)) {
    return 0;
  }
  const completions = attempts.map(({attempt, runTimeMs}) => ({
    remainingMs: Math.max(0, attempt.startedAt + runTimeMs - now),
    reserved: attempt.reserved,
  }));
  completions.sort((a, b) => a.remainingMs - b.remainingMs);
  for (const {remainingMs, reserved} of completions) {
    available = addResources(available, reserved);
    if (fitsInto(amount, available)) {
      return remainingMs;
    }
  }
  return Infinity;
}

/** Returns the attempts on a worker with their predicted run times. */
export function predictRunTimes(
  load: WorkerLoad,
  ledger: WorkerLedger,
  runTime: RunTimePrediction,
): PredictedAttempt[] {
  return [...load.attempts].flatMap((id) => {
    const attempt = ledger.attempt(id);
    return attempt ? [{attempt, runTimeMs: runTime(attempt.entry, attempt.declaredRunTimeMs)}] : [];
  });
}
