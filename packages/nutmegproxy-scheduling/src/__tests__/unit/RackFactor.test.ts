import type {RackId} from '@nutmegproxy/core';
import type {QueueId, Run, StepShape} from '@nutmegproxy/jobs';

import {brand, DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {DurationEstimator} from '../../DurationEstimator.ts';
import {computeRackFactor} from '../../RackFactor.ts';
import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {planSpeculativeRuns} from '../../SpeculationPlanner.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape} from './Samples.ts';

const [HERE, THERE] = [brand<RackId>('r1'), brand<RackId>('r2')];
const QUEUE = 'proofs' as QueueId;
const FACTOR = 3;
const ESTIMATE_MS = 1_000;

/** A run of a task with an estimate of 1 s on the rack `HERE`, that began at 0. */
function start(change: Partial<StepShape>): {minion: MinionState; run: Run; sample: SampleFleet} {
  const sample = new SampleFleet(2);
  const job = sample.addJob(QUEUE, [shape({estimateMs: ESTIMATE_MS, ...change})]);
  const [step] = job.occurrence(0) ?? [];
  const [minion] = sample.fleet.minions.values();
  assert.ok(step && minion);
  const run = sample.fleet.startRun(step, 0, minion, at(0));
  run.phase = 'running';
  run.confirmedAt = at(0);
  return {minion, run, sample};
}

/** Lists a run that takes `factor` times its estimate from 0 to 900 ms; returns the speed of its minion. */
function measureSpeed(
  change: Partial<StepShape>,
  factor: number,
  remoteRackFactor: number,
): number {
  const {minion, run, sample} = start(change);
  const monitor = new RunProgressMonitor(
    new DurationEstimator({remoteRackFactor}),
    DEFAULT_PLATFORM_BOUNDS,
  );
  for (let nowMs = 0; nowMs <= 900; nowMs += 300) {
    run.percent = (nowMs * 100) / (ESTIMATE_MS * factor);
    monitor.checkProgress(sample.fleet, minion, at(nowMs));
  }
  return minion.estimateSpeed(at(900));
}

describe('RackFactor', () => {
  describe('a run on another rack than that of its data', () => {
    const change = {preferredRack: THERE, speculative: true};

    it('leaves its minion as fast as elsewhere, whatever the factor', () => {
      const usual = measureSpeed(change, 1.5, 1.5);
      assert.equal(measureSpeed(change, FACTOR, FACTOR).toFixed(6), usual.toFixed(6));
      assert.ok(measureSpeed(change, 2 * FACTOR, FACTOR) < usual, 'a slow minion is found');
    });

    it('gets no speculative run before it takes longer than the factor explains', () => {
      for (const [remoteRackFactor, lateMs] of [
        [1.5, 2_400],
        [FACTOR, 4_400],
      ] as const) {
        const estimator = new DurationEstimator({remoteRackFactor});
        const {sample} = start(change);
        const {fleet} = sample;
        const others = [...fleet.minions.values()];
        const plan = (nowMs: number): number =>
          planSpeculativeRuns(fleet, others, NO_SHARING_COSTS, estimator, at(nowMs)).length;
        assert.equal(plan(lateMs), 0);
        assert.equal(plan(lateMs + 101), 1);
      }
    });

    it('is not overdue before it takes longer than the factor explains', () => {
      const {minion, sample} = start(change);
      const monitor = new RunProgressMonitor(
        new DurationEstimator({remoteRackFactor: FACTOR}),
        DEFAULT_PLATFORM_BOUNDS,
      );
      assert.equal(monitor.overdueInMs(sample.fleet, minion, at(0)), 3_000);
    });

    it('does not change what is expected on the rack of the data', () => {
      const {run, sample} = start(change);
      const estimator = new DurationEstimator({remoteRackFactor: FACTOR});
      estimator.recordRun(sample.fleet, run, 2 * ESTIMATE_MS);
      assert.equal(estimator.estimateTaskMs(QUEUE, run.step.shape), ESTIMATE_MS);
      assert.equal(estimator.estimateRunMs(sample.fleet, run), 2 * ESTIMATE_MS);
    });
  });

  it('is 1 on the rack of the data and without such a rack', () => {
    for (const change of [{preferredRack: HERE}, {}]) {
      const {run, sample} = start(change);
      assert.equal(computeRackFactor(sample.fleet, run, FACTOR), 1);
    }
  });

  it('is 1 for factors up to 1.5, which the limits leave room for', () => {
    const {run, sample} = start({preferredRack: THERE});
    assert.equal(computeRackFactor(sample.fleet, run, 1.5), 1);
    assert.equal(computeRackFactor(sample.fleet, run, 1), 1);
  });

  describe('a gang that works on one rack', () => {
    /** Returns the factor of the first of two members, of which the other is on a rack. */
    function computeForGang(rack: RackId, change: Partial<StepShape>): number {
      const {run, sample} = start({count: 2, gang: true, rackLocal: true, ...change});
      const other = sample.addMinion('m3', {rack});
      sample.fleet.startRun(run.step, 1, other, at(0), run.number);
      return computeRackFactor(sample.fleet, run, FACTOR);
    }

    it('takes longer when its members are on two racks', () => {
      assert.equal(computeForGang(THERE, {}), 2);
      assert.equal(computeForGang(HERE, {}), 1);
      assert.equal(computeForGang(THERE, {rackLocal: false}), 1);
    });

    it('takes longer by one factor when its data are elsewhere too', () => {
      assert.equal(computeForGang(THERE, {preferredRack: THERE}), 2);
    });
  });
});
