/** Interrupted lasting tasks of a cell that is full run where there is room for them. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {PlayedFullCell} from './FullCellPlay.ts';

import {playFullCell} from './FullCellPlay.ts';

/** Time in milliseconds for which a task may wait while a minion has room for it, as the users specify. */
const MAX_WAIT_MS = 3_000;
const PLAYS = 10;

function play(seed: number, change: {backfillMb: number; shortPriority: number}): PlayedFullCell {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  return playFullCell({backfills: 120, minions: 8, random, shortPerS: 6, ...change});
}

describe('An interrupted lasting task of a full cell of which a minion leaves', () => {
  for (const [shortPriority, backfillMb] of [
    [0, 100],
    [0, 3_500],
    [1, 100],
    [1, 3_500],
  ] as const) {
    it(`runs where there is room, beside short work of priority ${shortPriority} and backfill of ${backfillMb} MB`, () => {
      let interrupted = 0;
      for (let seed = 1; seed <= PLAYS; seed += 1) {
        const played = play(seed, {backfillMb, shortPriority});
        const {ms, task} = played.longest;
        interrupted += played.interrupted;
        assert.ok(ms <= MAX_WAIT_MS, `seed ${seed}: ${task} waited for ${ms} ms`);
      }
      assert.ok(interrupted > PLAYS, `${interrupted} tasks were interrupted`);
    });
  }
});
