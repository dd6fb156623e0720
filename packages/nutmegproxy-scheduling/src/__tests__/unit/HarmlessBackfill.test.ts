/** Backfill is harmless beside a task only for as long as others show that it would be over its target without it. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';
import {TARGET_MS} from './ServingSamples.ts';

const {maxExceededTargetMs} = DEFAULT_PLATFORM_BOUNDS;

describe('Overdue backfill beside a task that was over its target long ago', () => {
  it('is stopped in time although the one minion without backfill is slow', () => {
    const sample = new SampleFleet(0, [queue('proofs')]);
    const policy = new SharingPolicy(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    const job = sample.addJob('proofs', [
      shape({count: 2, image: 'shop', longRunning: true, maxPerMinion: 1, tailTargetMs: TARGET_MS}),
    ]);
    const [step] = job.occurrence(0) ?? [];
    assert.ok(step);
    const minions = [sample.addMinion('fast'), sample.addMinion('slow')];
    const serving = minions.map((minion, index) =>
      Object.assign(sample.fleet.startRun(step, index, minion, at(0)), {
        confirmedAt: at(0),
        percent: 100,
        phase: 'running',
      }),
    );
    const report = (now: number, tails: readonly number[]): void => {
      for (const [n, minion] of minions.entries()) {
        const run = serving[n];
        assert.ok(run);
        run.reading = tails[n];
        policy.model.observe(minion, at(now));
        policy.evictInterferingRuns(sample.fleet, minion, at(now));
        policy.evictExpiredRuns(sample.fleet, minion, at(now));
      }
    };
    // A burst: both tasks are over their targets without backfill.
    for (let now = 0; now <= 3_000; now += 300) {
      report(now, [100, 100]);
    }
    const work = sample.addJob('proofs', [
      shape({checkpoints: true, fillsSpareCpu: true, image: 'noisy'}),
    ]);
    const [backfill] = work.occurrence(0) ?? [];
    assert.ok(backfill && minions[0]);
    const run = Object.assign(sample.fleet.startRun(backfill, 0, minions[0], at(3_000)), {
      confirmedAt: at(3_000),
      phase: 'running',
      reading: 1_000,
      toleratedSince: at(3_000),
    });
    for (let now = 3_300; now <= 6_000; now += 300) {
      report(now, [110, 100]);
    }
    // The burst is over; the fast minion's task is over its target by the backfill alone. The slow one stays over.
    let stoppedAt = Infinity;
    for (let now = 6_300; now <= 60_000 && stoppedAt === Infinity; now += 300) {
      report(now, [60, 100]);
      stoppedAt = run.phase === 'stopping' ? now : Infinity;
    }
    assert.ok(stoppedAt - 6_000 < maxExceededTargetMs, `stopped at ${stoppedAt}`);
  });
});
