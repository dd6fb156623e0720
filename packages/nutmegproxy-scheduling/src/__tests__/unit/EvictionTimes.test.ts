import type {Run, StepShape} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const TARGET_MS = 50;
const LISTING_INTERVAL_MS = 100;
const LONGEST_MS = 5_000;
const BACKFILL_RUNS = 20;
/** For how long the platform lets a tail latency exceed its target beside backfill. */
const LIMIT_MS = 4_000;
/** Age of a report, and the wait of the poll that is the first to show it. */
const SEEN_AFTER_MS = 500 + 900;

function startRun(sample: SampleFleet, change: Partial<StepShape>): Run {
  const [step] = sample.addJob('proofs', [shape(change)]).occurrence(0) ?? [];
  const [minion] = sample.fleet.minions.values();
  assert.ok(step && minion);
  const run = sample.fleet.startRun(step, 0, minion, at(0));
  run.phase = 'running';
  run.reading = 0;
  return run;
}

/** Returns when all backfill beside a task that exceeds its target from 0 on has been told to stop. */
function findLastEviction(stopTimeoutMs: number, maxExceededTargetMs = LIMIT_MS): number {
  const sample = new SampleFleet(1);
  const policy = new SharingPolicy(sample.estimator, {maxExceededTargetMs, stopTimeoutMs});
  startRun(sample, {longRunning: true, tailTargetMs: TARGET_MS}).reading = TARGET_MS * 2;
  const backfill = Array.from({length: BACKFILL_RUNS}, () =>
    startRun(sample, {fillsSpareCpu: true}),
  );
  const [minion] = sample.fleet.minions.values();
  assert.ok(minion);
  for (let nowMs = 0; nowMs <= LONGEST_MS; nowMs += LISTING_INTERVAL_MS) {
    policy.evictInterferingRuns(sample.fleet, minion, at(nowMs));
    if (backfill.every(({phase}) => phase === 'stopping')) {
      return nowMs;
    }
  }
  return Infinity;
}

describe('The eviction of all backfill beside a task that exceeds its target', () => {
  it('ends within the limit of the platform, however long a stop takes of it', () => {
    for (const stopTimeoutMs of [100, 900, 1_500, 2_000, 2_300]) {
      const endsMs = SEEN_AFTER_MS + findLastEviction(stopTimeoutMs) + stopTimeoutMs;
      assert.ok(endsMs < LIMIT_MS, `${String(endsMs)} ms with stops of ${String(stopTimeoutMs)}`);
    }
  });

  it('ends within a shorter limit too', () => {
    for (const limitMs of [2_600, 3_000, 3_500]) {
      const endsMs = SEEN_AFTER_MS + findLastEviction(900, limitMs) + 900;
      assert.ok(endsMs < limitMs, `${String(endsMs)} ms with a limit of ${String(limitMs)}`);
    }
  });

  it('is ordered after 1.5 s where a stop takes 0.9 s or less', () => {
    assert.equal(findLastEviction(400), 1_500);
    assert.equal(findLastEviction(900), 1_500);
  });

  it('is ordered at once where a stop takes more than the limit leaves', () => {
    assert.equal(findLastEviction(6_000), 0);
  });
});
