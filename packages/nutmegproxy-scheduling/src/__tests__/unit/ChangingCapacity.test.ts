import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

describe('A minion whose capacity changes while it runs', () => {
  let minion: MinionState;
  let sample: SampleFleet;

  function resize(cpuMilli: number): void {
    const {description} = minion;
    minion.description = {...description, capacity: {...description.capacity, cpuMilli}};
  }

  beforeEach(() => {
    sample = new SampleFleet(0);
    minion = sample.addMinion('m1');
  });

  describe('that shrinks below what is reserved', () => {
    it('gets no start until enough has ended; what is being stopped still counts', () => {
      const first = sample.addJob('proofs', [shape({count: 2})]);
      const second = sample.addJob('proofs', [shape({count: 2})]);
      assert.equal(sample.plan(0).length, 4);
      resize(2_000);
      sample.addJob('proofs', [shape()]);
      sample.fleet.cancelJob(first);
      assert.equal(sample.plan(1).length, 0);
      sample.finishRuns(first, at(2));
      assert.equal(sample.plan(3).length, 0);
      sample.finishRuns(second, at(4));
      assert.equal(sample.plan(5).length, 1);
    });

    it('gets no speculative run, no member of a gang and no backfill', () => {
      sample.addJob('proofs', [shape({count: 3, longRunning: true})]);
      sample.plan(0);
      resize(2_500);
      const late = sample.addMinion('m2', {capacity: {cpuMilli: 1_000, gpus: 0, memoryMb: 8_000}});
      sample.addJob('proofs', [shape({speculative: true})]);
      assert.equal(sample.plan(1).length, 1);
      for (const run of late.runs) {
        run.phase = 'running';
      }
      sample.addJob('proofs', [shape({count: 2, gang: true})]);
      sample.addJob('proofs', [shape({fillsSpareCpu: true})]);
      assert.equal(sample.plan(60_000).length, 0);
      resize(4_000);
      assert.equal(sample.plan(60_200).length, 2);
    });

    it('keeps its lasting tasks, since moving them makes them unavailable for no gain', () => {
      sample.addMinion('m2');
      const job = sample.addJob('proofs', [shape({count: 6, longRunning: true, maxPerMinion: 3})]);
      sample.plan(0);
      resize(1_000);
      sample.plan(1);
      assert.equal(job.occurrence(0)?.[0]?.liveRuns, 6);
      assert.deepEqual(sample.fleet.pendingStops, []);
    });
  });

  it('gets starts in the next round once it has grown', () => {
    resize(1_000);
    sample.addJob('proofs', [shape({count: 4})]);
    assert.equal(sample.plan(0).length, 1);
    resize(4_000);
    assert.equal(sample.plan(1).length, 3);
  });

  it('is not blamed for a backfill run that has stalled for lack of processors', () => {
    const backfill = shape({checkpoints: true, fillsSpareCpu: true});
    const step = sample.addJob('proofs', [backfill]).occurrence(0)?.[0];
    sample.addJob('proofs', [shape({count: 3})]);
    const runs = sample.plan(0);
    for (const run of runs) {
      run.phase = 'running';
      run.percent = run.step === step ? 10 : 100;
    }
    resize(2_000);
    const monitor = new RunProgressMonitor(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    monitor.checkProgress(sample.fleet, minion, at(100));
    monitor.checkProgress(sample.fleet, minion, at(2_000));
    assert.deepEqual(
      sample.fleet.pendingStops.map(({reason}) => reason),
      ['stalled'],
    );
    assert.equal(minion.trust.level(at(2_000)), 'trusted');
  });

  it('leaves the estimates finite when it has no processors left', () => {
    const policy = new SharingPolicy(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    const serving = shape({image: 'serving', longRunning: true, tailTargetMs: 50});
    const backfill = shape({checkpoints: true, fillsSpareCpu: true, image: 'backfill'});
    sample.addJob('proofs', [serving]);
    sample.addJob('proofs', [backfill]);
    for (const run of sample.plan(0, policy)) {
      run.phase = 'running';
      run.confirmedAt = at(0);
      run.percent = run.step.shape.longRunning ? 100 : 10;
      run.reading = run.step.shape.longRunning ? 30 : 200;
    }
    assert.equal(minion.runs.size, 2);
    resize(0);
    for (let second = 1; second < 5; second += 1) {
      policy.model.observe(minion, at(second * 1_000));
    }
    resize(4_000);
    policy.model.observe(minion, at(6_000));
    const text = JSON.stringify(policy.model.export(at(6_000), wallAt(6_000)));
    assert.doesNotMatch(text, /null/);
    const [run] = minion.runs;
    assert.ok(run);
    const {mean, variance} = policy.model.estimatePressure(run, 'backfill');
    assert.ok(Number.isFinite(mean) && Number.isFinite(variance), `${mean} ${variance}`);
  });
});
