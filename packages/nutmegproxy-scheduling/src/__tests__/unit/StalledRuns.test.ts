import type {Checkpoint, Run} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const LISTING_INTERVAL_MS = 100;
const LONGEST_MS = 20_000;

/**
 * Lists a run that makes no progress before `progressMs` and none after it; returns for how long it was
 * without progress when it was stopped.
 */
function findStop(
  {checkpoint, progressMs = Infinity}: {checkpoint?: Checkpoint; progressMs?: number},
  restoreMs: number,
): number {
  const sample = new SampleFleet(1);
  const job = sample.addJob('proofs', [shape({checkpoints: true, estimateMs: 10_000})]);
  const [run] = sample.plan(0) as [Run];
  const [minion] = sample.fleet.minions.values();
  assert.ok(minion && job.hasStarted);
  run.checkpoint = checkpoint;
  run.phase = 'running';
  run.percent = 40;
  const monitor = new RunProgressMonitor(sample.estimator, {restoreMs});
  let progressedMs = 0;
  for (let nowMs = 0; nowMs <= LONGEST_MS; nowMs += LISTING_INTERVAL_MS) {
    if (nowMs >= progressMs && progressedMs === 0) {
      run.percent = 45;
      progressedMs = nowMs;
    }
    monitor.checkProgress(sample.fleet, minion, at(nowMs));
    if (sample.fleet.pendingStops.length > 0) {
      return nowMs - progressedMs;
    }
  }
  return Infinity;
}

describe('A run without progress', () => {
  const checkpoint = 'c1' as Checkpoint;

  it('is not stalled while it resumes from its checkpoint', () => {
    for (const restoreMs of [1_800, 3_000, 8_000]) {
      assert.equal(findStop({checkpoint}, restoreMs), restoreMs + 1_200);
    }
  });

  it('is stalled after 1.8 s where runs resume within 0.6 s', () => {
    for (const restoreMs of [100, 600]) {
      assert.equal(findStop({checkpoint}, restoreMs), 1_800);
    }
  });

  it('is stalled after 1.8 s if it has no checkpoint or has resumed', () => {
    assert.equal(findStop({}, 3_000), 1_800);
    assert.equal(findStop({checkpoint, progressMs: 500}, 3_000), 1_800);
  });
});
