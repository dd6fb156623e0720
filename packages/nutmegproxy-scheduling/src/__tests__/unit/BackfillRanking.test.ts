import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const NOW_MS = 100_000;
/** Tail latency in milliseconds that serving tasks report, near their target. */
const TAIL_MS = 40;

interface Case {
  /** Numbers of backfill tasks by step, and how long each step has waited, in milliseconds. */
  readonly backfill: readonly (readonly [count: number, waitedMs: number])[];
  /** Numbers of serving tasks by minion. */
  readonly serving: readonly number[];
}

/** Plans the starts of a case; with `isRankedAgain`, minions are ranked again after the first one of each step. */
function planCase({backfill, serving}: Case, isRankedAgain: boolean): string[] {
  const sample = new SampleFleet(0);
  const policy = new SharingPolicy(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
  for (const [number, tasks] of serving.entries()) {
    const minion = sample.addMinion(`m${number}`);
    const lasting = shape({count: tasks, image: 'shop', longRunning: true, tailTargetMs: 50});
    const [step] = sample.addJob('proofs', [lasting]).occurrence(0) ?? [];
    assert.ok(step);
    for (const index of tasks > 0 ? [...step.waiting] : []) {
      const run = sample.fleet.startRun(step, index, minion, at(0));
      Object.assign(run, {confirmedAt: at(0), percent: 100, phase: 'running', reading: TAIL_MS});
    }
    policy.model.observe(minion, at(NOW_MS - 1_000));
  }
  for (const [count, waitedMs] of backfill) {
    const [step] =
      sample
        .addJob('proofs', [shape({count, fillsSpareCpu: true, image: 'noisy'})])
        .occurrence(0) ?? [];
    assert.ok(step);
    step.readyAt = at(NOW_MS - waitedMs);
  }
  const costs = {
    backfillCost: policy.backfillCost.bind(policy),
    ordinaryCost: policy.ordinaryCost.bind(policy),
    servingCost: policy.servingCost.bind(policy),
  };
  const runs = sample.plan(NOW_MS, isRankedAgain ? costs : policy);
  return runs.map(({minion, task}) => `${task.job}.${task.index} ${minion}`);
}

describe('The ranking of minions for a backfill step', () => {
  it('gives the same starts in the same order as one that is computed anew after the first', () => {
    let starts = 0;
    fc.assert(
      fc.property(
        fc.record({
          backfill: fc.array(fc.tuple(fc.nat({max: 8}), fc.nat({max: 12_000})), {maxLength: 6}),
          serving: fc.array(fc.nat({max: 4}), {maxLength: 6, minLength: 1}),
        }),
        (each) => {
          const planned = planCase(each, false);
          starts += planned.length;
          assert.deepEqual(planned, planCase(each, true));
        },
      ),
      {numRuns: 300, seed: 63},
    );
    assert.ok(starts > 0);
  });

  it('is computed anew for a step that has waited so long that more minions admit it', () => {
    const sample = new SampleFleet(0);
    const policy = new SharingPolicy(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    const [step] =
      sample.addJob('proofs', [shape({fillsSpareCpu: true, image: 'noisy'})]).occurrence(0) ?? [];
    assert.ok(step);
    step.readyAt = at(0);
    assert.equal(policy.dependsOnWait(step, at(4_000)), false);
    assert.equal(policy.dependsOnWait(step, at(4_001)), true);
  });
});
