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

/** Shares of the time that work takes which does not depend on the starts. */
const OTHER_SHARES = [0.4, 0.6, 0.75];

function countStarts(seed: number, callMs: number, isThrottled: boolean, otherShare = 0): number {
  return createFullOwner(seed, callMs, FINISH_MS, isThrottled, otherShare).run().starts;
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

describe('An owner whose process is full by other work for the most part', () => {
  for (const otherShare of OTHER_SHARES) {
    for (const seed of SEEDS) {
      it(`does not withhold starts that it has time for (${otherShare}, seed ${seed})`, () => {
        const callMs = CALL_MS.half * (1 - otherShare);
        const starts = countStarts(seed, callMs, true, otherShare);
        const share = (TARGET_USE - otherShare) / (1 - otherShare);
        const carried = share * countStarts(seed, callMs, false, otherShare);
        assert.ok(starts >= MIN_STARTED_SHARE * carried, `${starts} of ${carried}`);
      });
    }
  }
});

describe('An owner without urgent work', () => {
  const CALL_MS_BESIDE_OTHER_WORK = 0.26;
  const OTHER_SHARE = 0.9;
  /** Times in milliseconds after the last arrival between which nothing urgent is left. */
  const [FROM_MS, UNTIL_MS] = [8_000, 14_000];

  for (const seed of SEEDS) {
    it(`uses all time that other work leaves (seed ${seed})`, () => {
      const play = (finishMs: number): number =>
        createFullOwner(seed, CALL_MS_BESIDE_OTHER_WORK, finishMs, true, OTHER_SHARE).run().starts;
      const starts = play(UNTIL_MS) - play(FROM_MS);
      const leftMs = (1 - OTHER_SHARE) * (UNTIL_MS - FROM_MS);
      const carried = (TARGET_USE * leftMs) / (2 * CALL_MS_BESIDE_OTHER_WORK);
      assert.ok(starts >= MIN_STARTED_SHARE * carried, `${starts} of ${carried}`);
    });
  }
});
