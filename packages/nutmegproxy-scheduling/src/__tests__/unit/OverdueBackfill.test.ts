/** Backfill that is overdue runs beside serving tasks over their targets, and keeps what they are promised. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {BackfillPlay} from './OverdueBackfillPlay.ts';

import {playBackfill} from './OverdueBackfillPlay.ts';

/** Time after which callers count work as lost that waits beside free room, as the users specify. */
const FINISH_MS = 14_000;
/** Time for which nothing of a job runs until it counts as lost, as the users specify. */
const IDLE_MS = 3_000;
const {maxExceededTargetMs} = DEFAULT_PLATFORM_BOUNDS;
/** Turns in which the work of `PLAY` is done; each is shorter, with its pause, than backfill may do harm on end. */
const TURNS = 2;

const PLAY: BackfillPlay = {
  checkpoints: true,
  jobs: 1,
  load: () => 0.9,
  minions: 4,
  playMs: 45_000,
  pressure: 0.3,
  workMs: 2_700,
};

const LOADS: Readonly<Record<string, Partial<BackfillPlay>>> = {
  'on one minion': {minions: 1},
  'over their targets': {},
  'over their targets because of it alone': {load: () => 0.75},
  'over their targets for a part of the time': {
    load: (nowMs) => 0.75 + 0.15 * Math.sin(nowMs / 2_000),
  },
  'that fall below their targets beside it': {load: (nowMs) => (nowMs < 14_500 ? 0.9 : 0.7)},
  'with loads of their own': {sharesLoad: false},
};

const share = (min: number, max: number): fc.Arbitrary<number> =>
  fc.double({max, min, noNaN: true});

const DRAWN: fc.Arbitrary<Omit<BackfillPlay, 'checkpoints'>> = fc
  .record({
    jobs: fc.integer({max: 3, min: 1}),
    mean: share(0.55, 0.9),
    minions: fc.integer({max: 5, min: 2}),
    periodMs: share(3_000, 28_000),
    phase: share(0, 2 * Math.PI),
    pressure: share(0.1, 0.5),
    sharesLoad: fc.boolean(),
    swing: share(0, 0.25),
    workMs: fc.integer({max: 65, min: 5}).map((tenths) => tenths * 100),
  })
  .map(({mean, periodMs, phase, swing, ...drawn}) => ({
    ...drawn,
    load: (nowMs) => mean + swing * Math.sin((2 * Math.PI * nowMs) / periodMs + phase),
    playMs: PLAY.playMs,
  }));

describe('Overdue backfill beside serving tasks', () => {
  for (const [name, change] of Object.entries(LOADS)) {
    const play = {...PLAY, ...change};

    // Guards against backfill that is started again and again and stopped in the next review.
    it(`runs to its end (${name})`, () => {
      const {endedMs, longestIdleMs, startedMs} = playBackfill(play);
      assert.ok(Math.max(...startedMs) <= FINISH_MS, `started at ${startedMs.join()}`);
      assert.ok(longestIdleMs < IDLE_MS, `nothing ran for ${longestIdleMs} ms`);
      const latestMs = FINISH_MS + TURNS * maxExceededTargetMs;
      assert.ok(Math.max(...endedMs) <= latestMs, `ended at ${endedMs.join()}`);
    });

    it(`keeps none of them over its target for longer than the platform allows (${name})`, () => {
      const {causedS, longestHarmMs} = playBackfill(play);
      assert.ok(longestHarmMs < maxExceededTargetMs, `${longestHarmMs} ms`);
      const priceMs = causedS * 1_000;
      assert.ok(priceMs < TURNS * maxExceededTargetMs, `${priceMs} ms over the target`);
    });
  }

  it('runs to its end without checkpoints where they are over their targets without it', () => {
    const workMs = 8_000;
    const {causedS, endedMs} = playBackfill({...PLAY, checkpoints: false, workMs});
    assert.equal(causedS, 0);
    assert.ok(Math.max(...endedMs) <= FINISH_MS + workMs, `ended at ${endedMs.join()}`);
  });

  it('is one task a minion where many jobs are overdue at once', () => {
    for (const load of [0.75, 0.9]) {
      const {longestHarmMs, mostTolerated} = playBackfill({
        ...PLAY,
        jobs: 40,
        load: () => load,
        minions: 10,
      });
      assert.equal(mostTolerated, 1);
      assert.ok(longestHarmMs < maxExceededTargetMs, `${longestHarmMs} ms`);
    }
  });

  it('runs to its end without checkpoints too where that takes less time than it may do harm', () => {
    const {endedMs, longestHarmMs} = playBackfill({
      ...PLAY,
      checkpoints: false,
      load: () => 0.75,
    });
    assert.ok(
      Math.max(...endedMs) <= FINISH_MS + maxExceededTargetMs,
      `ended at ${endedMs.join()}`,
    );
    assert.ok(longestHarmMs < maxExceededTargetMs, `${longestHarmMs} ms`);
  });

  // It saves nothing in its turns, which only show whether the serving tasks tolerate it by now.
  it('does little harm without checkpoints where it can’t end in time', () => {
    for (const workMs of [3_500, 8_000]) {
      const {causedS, longestIdleMs} = playBackfill({
        ...PLAY,
        checkpoints: false,
        load: () => 0.75,
        workMs,
      });
      assert.ok(longestIdleMs < IDLE_MS, `nothing ran for ${longestIdleMs} ms`);
      assert.ok(causedS * 1_000 < (PLAY.playMs - FINISH_MS) / 2, `${causedS} s over the target`);
    }
  });

  // Such a task would need more time on end than it may do harm, and saves nothing.
  it('does not stay without a run without checkpoints either', () => {
    const {longestHarmMs, longestIdleMs} = playBackfill({
      ...PLAY,
      checkpoints: false,
      load: () => 0.75,
    });
    assert.ok(longestIdleMs < IDLE_MS, `nothing ran for ${longestIdleMs} ms`);
    assert.ok(longestHarmMs < maxExceededTargetMs, `${longestHarmMs} ms`);
  });

  for (const [kind, checkpoints] of [
    ['without checkpoints', false],
    ['with checkpoints', true],
  ] as const) {
    it(`keeps no serving task over its target for too long, whatever the load (${kind})`, () => {
      fc.assert(
        fc.property(DRAWN, (drawn) => {
          const {longestHarmMs} = playBackfill({...drawn, checkpoints});
          assert.ok(longestHarmMs < maxExceededTargetMs, `${longestHarmMs} ms`);
        }),
        {endOnFailure: true, numRuns: 600, seed: 73},
      );
    });
  }
});
