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
const {maxExceededTargetMs, stopTimeoutMs} = DEFAULT_PLATFORM_BOUNDS;
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

/** What may lengthen the time for which backfill works beside tasks over their targets. */
const TROUBLES: Readonly<Record<string, Partial<BackfillPlay>>> = {
  'with a slow minion': {slowness: 1.4},
  'with a slow minion and slow stops': {slowness: 1.4, stopMs: stopTimeoutMs},
  'with late reports': {reportIntervalMs: 600},
  'with late reports and slow stops': {reportIntervalMs: 600, stopMs: stopTimeoutMs},
  'with one owner': {},
  'with owners that follow one another each 3 s': {ownerMs: 3_000},
  'with owners that follow one another each 7 s': {ownerMs: 7_000},
  'with slow stops': {stopMs: stopTimeoutMs},
};

const LATENCIES = {load: [0.65, 0.72, 0.79], pressure: [0.1, 0.3, 0.8]};
const WORK_MS = [300, 1_200, 2_700, 6_000];

/** Plays of one to four minions, with and without checkpoints, of each length of work and load. */
function* listPlays(jobs: readonly number[]): Generator<BackfillPlay> {
  for (const checkpoints of [false, true]) {
    for (const minions of [1, 2, 4]) {
      for (const load of LATENCIES.load) {
        for (const pressure of LATENCIES.pressure) {
          for (const workMs of WORK_MS) {
            for (const each of jobs) {
              const {playMs} = PLAY;
              yield {checkpoints, jobs: each, load: () => load, minions, playMs, pressure, workMs};
            }
          }
        }
      }
    }
  }
}

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

  // Those that were stopped would come first again.
  it('gets a turn for each job where there are many more jobs than minions', () => {
    const {startedMs} = playBackfill({
      ...PLAY,
      checkpoints: false,
      jobs: 40,
      load: () => 0.75,
      minions: 10,
      workMs: 8_000,
    });
    assert.ok(Math.max(...startedMs) < PLAY.playMs, `started at ${startedMs.join()}`);
  });

  // Guards against tasks beyond the first that use up the turns of other jobs and are stopped at once.
  for (const load of [0.85, 0.9]) {
    it(`gets a turn for each job where there are many more jobs, of several tasks each (${load})`, () => {
      const {startedMs} = playBackfill({
        ...PLAY,
        jobs: 60,
        load: () => load,
        minions: 10,
        tasks: 4,
        workMs: 1_200,
      });
      assert.ok(Math.max(...startedMs) < PLAY.playMs, `started at ${startedMs.join()}`);
    });
  }

  // Tail latencies are measured over half a second, so that a shorter gap between two runs ends nothing.
  describe('keeps no serving task over its target for longer than the platform allows, short gaps included', () => {
    for (const [name, trouble] of Object.entries(TROUBLES)) {
      it(name, () => {
        for (const play of listPlays([2, 8])) {
          const {longestMeasuredHarmMs} = playBackfill({...play, ...trouble});
          assert.ok(
            longestMeasuredHarmMs < maxExceededTargetMs,
            `${longestMeasuredHarmMs} ms: ${JSON.stringify({...play, ...trouble, load: play.load(0)})}`,
          );
        }
      });
    }
  });

  describe('does not stay without a run where there is a minion for each job', () => {
    for (const [name, trouble] of Object.entries(TROUBLES).filter(([, {ownerMs}]) => !ownerMs)) {
      it(name, () => {
        for (const play of listPlays([1])) {
          const {longestIdleMs} = playBackfill({...play, ...trouble, jobs: play.minions});
          assert.ok(
            longestIdleMs < IDLE_MS,
            `${longestIdleMs} ms: ${JSON.stringify({...play, ...trouble, load: play.load(0)})}`,
          );
        }
      });
    }
  });
});
