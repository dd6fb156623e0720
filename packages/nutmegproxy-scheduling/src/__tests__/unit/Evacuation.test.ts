import type {PlatformBounds} from '@nutmegproxy/core';
import type {StepShape} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {evacuateMinion} from '../../Evacuation.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const PLAN_INTERVAL_MS = 50;
const CHECKPOINTED: Partial<StepShape> = {checkpoints: true, estimateMs: 60_000};

/** Returns how long before a minion leaves its run is stopped; undefined when it is not. */
function findStop(
  change: Partial<StepShape>,
  bounds: Partial<PlatformBounds>,
  leavesInMs: number | undefined,
  reportIntervalMs = Infinity,
): number | undefined {
  const sample = new SampleFleet(0);
  const minion = sample.addMinion('m1');
  const job = sample.addJob('proofs', [shape(change)]);
  for (const run of sample.plan(0)) {
    run.phase = 'running';
  }
  const report = (nowMs: number): void => {
    const leftMs = leavesInMs === undefined ? undefined : leavesInMs - nowMs;
    minion.update({...minion.description, isDraining: true, leavesInMs: leftMs}, at(nowMs));
  };
  report(0);
  const all = {...DEFAULT_PLATFORM_BOUNDS, ...bounds};
  const leavesMs = leavesInMs ?? all.drainMs;
  for (let nowMs = 0; nowMs <= leavesMs; nowMs += PLAN_INTERVAL_MS) {
    if (nowMs >= (change.estimateMs ?? Infinity)) {
      sample.finishRuns(job, at(nowMs));
    }
    if (nowMs % reportIntervalMs === 0) {
      report(nowMs);
    }
    evacuateMinion(sample.fleet, minion, sample.estimator, all, at(nowMs));
    if (sample.fleet.pendingStops.length > 0) {
      return leavesMs - nowMs;
    }
  }
  return undefined;
}

describe('evacuateMinion', () => {
  it('stops a run with checkpoints so early that its stop ends before the minion leaves', () => {
    assert.equal(findStop(CHECKPOINTED, {stopTimeoutMs: 2_500}, 6_000), 2_800);
  });

  it('stops it 1.2 s before the minion leaves where a stop takes 0.9 s or less', () => {
    for (const stopTimeoutMs of [400, 900]) {
      assert.equal(findStop(CHECKPOINTED, {stopTimeoutMs}, 6_000), 1_200);
    }
  });

  it('expects a minion that does not say when it leaves to serve for drainMs', () => {
    assert.equal(findStop(CHECKPOINTED, {drainMs: 4_000}, undefined), 1_200);
    assert.equal(findStop(CHECKPOINTED, {drainMs: 1_000}, undefined), 1_000);
  });

  it('counts from the last report of a minion that says again and again when it leaves', () => {
    assert.equal(findStop(CHECKPOINTED, {}, 6_000, 400), 1_200);
  });

  it('lets a run without checkpoints or one that ends in time go on', () => {
    assert.equal(findStop({estimateMs: 60_000}, {}, 6_000), undefined);
    assert.equal(findStop({checkpoints: true, estimateMs: 100}, {}, 6_000), undefined);
  });

  it('stops long-running tasks at once', () => {
    assert.equal(findStop({longRunning: true}, {}, 6_000), 6_000);
  });
});
