import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {JobHistory} from '../../FleetSimulation.ts';

import {ARRIVALS_MS, createFullOwner} from './FullOwnerPlay.ts';
import {DIGEST_CLASS} from './LargeFleetLoad.ts';

/** Time in milliseconds after the last arrival at which an accepted job has to run. */
const FINISH_MS = 14_000;
/** Time in milliseconds for which an accepted job may stand still beside free room, as its minions see it. */
const MAX_STANDSTILL_MS = 3_000;
/** Time in milliseconds of a call with which the owner makes some 116 starts a second. */
const CALL_MS = 4.3;
/** Times in milliseconds from one listing of a minion to the next, and from the sending of a start to its run. */
const LATENESS = {listingIntervalMs: 1_300, startDelayMs: 700};
const SEEDS = [7, 11, 23, 31];

/** Returns the longest time between two runs of a job after the last arrival, or until it is completed, in milliseconds. */
function findStandstill({completedMs = Infinity, spans}: JobHistory, endMs: number): number {
  const untilMs = Math.min(completedMs, endMs);
  let longestMs = 0;
  let workedUntilMs = ARRIVALS_MS;
  for (const span of spans.toSorted((a, b) => a.fromMs - b.fromMs)) {
    longestMs = Math.max(longestMs, Math.min(span.fromMs, untilMs) - workedUntilMs);
    workedUntilMs = Math.max(workedUntilMs, span.untilMs);
  }
  return Math.max(longestMs, untilMs - workedUntilMs);
}

describe('Deferrable jobs of a full owner that learns late of the ends of their runs', () => {
  for (const seed of SEEDS) {
    it(`do not stand still on their minions until they are lost (seed ${seed})`, () => {
      const simulation = createFullOwner(seed, CALL_MS, FINISH_MS, true, 0, LATENESS);
      const {histories} = simulation.run();
      // Urgent jobs that are wide wait for room.
      const lost = histories
        .filter(({job}) => job.jobClass === DIGEST_CLASS)
        .map((history) => Math.round(findStandstill(history, ARRIVALS_MS + FINISH_MS)))
        .filter((standstillMs) => standstillMs > MAX_STANDSTILL_MS);
      assert.deepEqual(lost, []);
    });
  }
});
