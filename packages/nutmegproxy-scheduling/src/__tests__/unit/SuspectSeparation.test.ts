import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {crash, crashOf, play, startOn} from './CrashSamples.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape} from './Samples.ts';

describe('A good job', () => {
  it('is not given up when it waits together with tasks that crash minions at the same time', () => {
    const sample = new SampleFleet(8);
    const [first, second, failing, ...others] = [...sample.fleet.minions.values()];
    assert.ok(first && second && failing);
    const packing = {
      ...NO_SHARING_COSTS,
      ordinaryCost: (minion: MinionState) => minion.spareCpuMilli,
    };
    const addJob = (): JobState => sample.addJob('proofs', [shape()]);
    const good = [addJob(), addJob()];
    const deadly = [addJob(), addJob()];
    for (const [round, minion] of [first, second].entries()) {
      for (const job of [...good, ...deadly]) {
        startOn(sample, job, minion, round * 2_100);
      }
      crash(sample, [minion, failing], round * 2_100 + 10);
    }
    // Other suspects use all trials that may take place at a time.
    for (const minion of others.slice(0, 2)) {
      minion.trialRun = startOn(sample, addJob(), minion, 4_200);
      minion.trialRun.step.crashes.record(0, crashOf(minion, 9_000, 1), at(4_200));
    }
    play(
      sample,
      4_200,
      30_000,
      (now) => {
        const hit = [...sample.fleet.minions.values()].filter(({runs}) =>
          [...runs].some(({step}) => deadly.includes(step.job)),
        );
        crash(sample, hit, now);
      },
      packing,
    );
    assert.deepEqual(
      good.map(({status}) => status),
      ['running', 'running'],
    );
    assert.deepEqual(
      deadly.map(({status}) => status),
      ['failed', 'failed'],
    );
  });
});

describe('Suspects that are kept apart', () => {
  it('are not idle for nine seconds when there are more of them than minions', () => {
    const sample = new SampleFleet(12);
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(first && second);
    const jobs = Array.from({length: 36}, () =>
      sample.addJob('proofs', [shape({longRunning: true})]),
    );
    for (const job of jobs) {
      const crashes = job.occurrence(0)?.[0]?.crashes;
      crashes?.record(0, crashOf(first, 3_000, 1), at(0));
      crashes?.record(0, crashOf(second, 3_000, 2), at(0));
    }
    play(sample, 0, 9_000);
    assert.equal(jobs.filter(({status}) => status === 'running').length, jobs.length);
  });

  it('do not keep other tasks of their job from starting', () => {
    const sample = new SampleFleet(1);
    const [only] = [...sample.fleet.minions.values()];
    assert.ok(only);
    const [young, job] = [shape(), shape({count: 2})].map((each) =>
      sample.addJob('proofs', [each]),
    );
    assert.ok(young && job);
    for (const each of [young, job]) {
      const crashes = each.occurrence(0)?.[0]?.crashes;
      crashes?.record(0, {...crashOf(only, 3_000, 1), address: 'm2:1'}, at(0));
      crashes?.record(0, {...crashOf(only, 3_000, 2), address: 'm3:1'}, at(0));
    }
    startOn(sample, young, only, 2_000);
    play(sample, 2_100, 2_200);
    const step = job.occurrence(0)?.[0];
    assert.deepEqual(
      [0, 1].map((index) => step?.runsOf(index).length),
      [0, 1],
    );
  });
});
