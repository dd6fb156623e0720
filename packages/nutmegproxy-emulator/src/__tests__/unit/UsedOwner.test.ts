import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {createFullOwner} from './FullOwnerPlay.ts';

const FINISH_MS = 10_000;
const SEEDS = [7, 11, 23, 31];
/** Time in milliseconds of a call with which the load needs more than the owner's process has. */
const CALL_MS = {'a tenth': 1.8, half: 2.6};
/** Use of the process up to which deferrable tasks are started; the rest is for urgent work. */
const TARGET_USE = 0.9;
/** Share that must be started, of what the process carries up to that use. */
const MIN_STARTED_SHARE = 0.9;

function countStarts(seed: number, callMs: number, isThrottled: boolean): number {
  return createFullOwner(seed, callMs, FINISH_MS, isThrottled).run().starts;
}

describe('An owner whose process is full by too much work', () => {
  for (const [excess, callMs] of Object.entries(CALL_MS)) {
    describe(excess, () => {
      for (const seed of SEEDS) {
        it(`does not withhold starts that it has time for (seed ${seed})`, () => {
          const starts = countStarts(seed, callMs, true);
          const carried = TARGET_USE * countStarts(seed, callMs, false);
          assert.ok(starts >= MIN_STARTED_SHARE * carried, `${starts} of ${carried}`);
        });
      }
    });
  }
});
