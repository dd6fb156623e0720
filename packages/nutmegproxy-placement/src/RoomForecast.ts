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
export function roomInMs(
  amount: Resources,
  free: Resources,
  attempts: readonly PredictedAttempt[],
  now: Instant,
): number {
  let room = free;
  if (fitsInto(amount, room)) {
    return 0;
  }
  const ends = attempts.map(({attempt, runTimeMs}) => ({
    leftMs: Math.max(0, attempt.startedAt + runTimeMs - now),
    reserved: attempt.reserved,
  }));
  ends.sort((a, b) => a.leftMs - b.leftMs);
  for (const {leftMs, reserved} of ends) {
    room = addResources(room, reserved);
    if (fitsInto(amount, room)) {
      return leftMs;
    }
  }
  return Infinity;
}

/** The attempts on a worker with their predicted run times. */
export function predictAttempts(
  load: WorkerLoad,
  ledger: WorkerLedger,
  runTime: RunTimePrediction,
): PredictedAttempt[] {
  return [...load.attempts].flatMap((id) => {
    const attempt = ledger.attempt(id);
    return attempt ? [{attempt, runTimeMs: runTime(attempt.entry, attempt.declaredRunTimeMs)}] : [];
  });
}
