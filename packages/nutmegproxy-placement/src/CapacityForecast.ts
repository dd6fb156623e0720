/** When a worker will have room, by the predicted ends of what runs there. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {RunTimePrediction} from './EvictionPlanner.ts';
import type {PlacedAttempt} from './Placement.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {addResources, fitsInto} from './ResourcesUtils.ts';

/** An attempt with the run time that is predicted for it. */
export interface PredictedAttempt {
  readonly attempt: PlacedAttempt;
  readonly runTimeMs: number;
}

/**
 * Milliseconds until `amount` fits into what is free, as attempts end one after the other; Infinity
 * when it does not even then.
 *
 * @example
 * roomInMs(amount, load.free, attempts, now); // 1500
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

/** The attempts on a worker with their predicted run times. */
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
