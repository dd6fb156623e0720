import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ARRIVALS_MS, createFullOwner} from './FullOwnerPlay.ts';

/** Time in milliseconds after the last arrival at which an accepted job has to run. */
const FINISH_MS = 14_000;
/** Time in milliseconds for which an accepted job may stand still beside free room. */
const MAX_STANDSTILL_MS = 3_000;
const SEEDS = [7, 11];
/** Time in milliseconds of a call with which the load needs as much as the owner's process has, and more. */
const CALL_MS = {'half as much again': 2.6, 'three quarters': 1.2, 'three times as much': 5.2};

/** Whether something of a job runs, or a task of it was placed or done in the time in which it may stand still. */
function isServed(job: JobState, endMs: number): boolean {
  return [...job.steps()].some(
    ({doneAt = -Infinity, liveRuns, placedAt = -Infinity}) =>
      liveRuns > 0 || Math.max(doneAt, placedAt) > endMs - MAX_STANDSTILL_MS,
  );
}

/** Returns the number of accepted jobs that are withheld at the end. */
function countWithheldJobs(seed: number, callMs: number, otherShare = 0): number {
  const simulation = createFullOwner(seed, callMs, FINISH_MS, true, otherShare);
  simulation.run();
  const endMs = ARRIVALS_MS + FINISH_MS;
  return [...simulation.fleet.jobs.open()].filter((job) => !isServed(job, endMs)).length;
}

describe('Deferrable jobs of an owner whose process is used', () => {
  for (const [use, callMs] of Object.entries(CALL_MS)) {
    it(`are not withheld until they are lost: ${use}`, () => {
      const withheld = SEEDS.map((seed) => countWithheldJobs(seed, callMs));
      assert.deepEqual(withheld, [0, 0]);
    });
  }

  describe('by other work for the most part', () => {
    /** Shares of the time that other work takes; what it leaves is enough for all calls. */
    for (const otherShare of [0.6, 0.8, 0.9]) {
      it(`are not withheld where it takes ${otherShare} of the time`, () => {
        const callMs = CALL_MS['three quarters'] * (1 - otherShare);
        const withheld = SEEDS.map((seed) => countWithheldJobs(seed, callMs, otherShare));
        assert.deepEqual(withheld, [0, 0]);
      });
    }
  });
});
