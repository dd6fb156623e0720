/** Hundreds of jobs of backfill that are overdue at once, beside serving tasks that tolerate them. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const HELD_MS = 20_000;
const MINIONS = 60;
const JOBS = 300;
const TASKS = 4;
const TARGET_MS = 50;
/** Tail latency beside which serving tasks tolerate backfill. */
const TOLERANT_MS = 12;
const FULL_PERCENT = 100;
const RESOURCES = {cpuMilli: 100, gpus: 0, memoryMb: 10};

/** Returns how many tasks start in a round when each step has waited for `heldMs` beside free room. */
function countStarts(heldMs: number): number {
  const sample = new SampleFleet(0);
  const {estimator, fleet} = sample;
  const policy = new SharingPolicy(estimator, DEFAULT_PLATFORM_BOUNDS);
  const serving = sample.addJob('proofs', [
    shape({count: MINIONS, image: 'shop', longRunning: true, tailTargetMs: TARGET_MS}),
  ]);
  const [servingStep] = serving.occurrence(0) ?? [];
  assert.ok(servingStep);
  for (let index = 0; index < MINIONS; index += 1) {
    const minion = sample.addMinion(`m${index}`);
    const run = fleet.startRun(servingStep, index, minion, at(0));
    const confirmed = {confirmedAt: at(0), percent: FULL_PERCENT, phase: 'running'};
    Object.assign(run, {...confirmed, reading: TOLERANT_MS});
    minion.lastAnswerAt = at(0);
    policy.model.observe(minion, at(0));
    policy.evictInterferingRuns(fleet, minion, at(0));
  }
  for (let number = 0; number < JOBS; number += 1) {
    const step = shape({count: TASKS, fillsSpareCpu: true, image: 'noisy', resources: RESOURCES});
    sample.addReadyJob('proofs', step, -heldMs);
  }
  fleet.freeRoom.observe(fleet, at(-HELD_MS));
  return sample.plan(0, policy).length;
}

describe('Backfill of which hundreds of jobs are overdue at once', () => {
  // Guards against overdue work that starts more slowly than other work.
  it('starts with as many tasks as backfill that is not overdue', () => {
    const others = countStarts(0);
    assert.ok(others > JOBS);
    const overdue = countStarts(HELD_MS);
    assert.ok(overdue >= others, `${overdue} tasks in place of ${others}`);
  });
});
