import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {crash, crashOf, play, startOn} from './CrashSamples.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape} from './Samples.ts';

describe('A good job', () => {
  it('runs on when it waits together with tasks that crash minions at the same time', () => {
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
    const crashes = new Map<JobState, number>();
    play(
      sample,
      4_200,
      60_000,
      (now) => {
        const hit = [...sample.fleet.minions.values()].filter(({runs}) =>
          [...runs].some(({step}) => deadly.includes(step.job)),
        );
        for (const minion of hit) {
          for (const {step} of minion.runs) {
            crashes.set(step.job, (crashes.get(step.job) ?? 0) + 1);
          }
        }
        crash(sample, hit, now);
      },
      packing,
    );
    assert.deepEqual(
      good.map(({status}) => status),
      ['running', 'running'],
    );
    // Two crashes have taken place before.
    assert.ok(deadly.every((job) => !job.isFinal && 2 + (crashes.get(job) ?? 0) <= 5));
  });
});

describe('Suspects that are kept apart', () => {
  /** Time in milliseconds from the last crash under a task, or from a takeover, within which it has to start. */
  const MAX_WAIT_MS = 10_000;

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

  for (const owner of ['the owner that saw its crashes', 'the next owner']) {
    it(`wait for others for a bounded time, though there are new ones all the time, under ${owner}`, () => {
      const sample = new SampleFleet(1);
      const [only] = [...sample.fleet.minions.values()];
      assert.ok(only);
      const job = sample.addJob('proofs', [shape()]);
      const others = ['m2:1', 'm3:1'].map((address, index) => ({
        ...crashOf(only, 3_000, index + 1),
        address,
      }));
      if (owner === 'the next owner') {
        const steps = {'0.0': {checkpoints: {}, crashes: {0: others}, done: [], failures: {}}};
        const progress = {queue: job.request.queue, status: 'running' as const, steps};
        sample.fleet.jobs.set(job.id, new JobState(job.request, job.revision, progress));
      } else {
        for (const each of others) {
          job.occurrence(0)?.[0]?.crashes.record(0, each, at(0));
        }
      }
      let startedAt = Infinity;
      for (let now = 0; now <= MAX_WAIT_MS && startedAt === Infinity; now += 500) {
        const young = sample.addJob('proofs', [shape()]);
        for (const each of others) {
          young.occurrence(0)?.[0]?.crashes.record(0, each, at(now));
        }
        startOn(sample, young, only, now);
        play(sample, now, now + 500, (playedMs) => {
          const step = sample.fleet.jobs.get(job.id)?.occurrence(0)?.[0];
          startedAt = step?.waiting.size === 0 ? Math.min(startedAt, playedMs) : startedAt;
        });
        for (const run of [...only.runs].filter(({step}) => step.job === young)) {
          sample.fleet.finishRun(run, 'done', undefined, at(now + 500));
        }
      }
      assert.ok(startedAt > 0 && startedAt <= MAX_WAIT_MS, `started after ${startedAt} ms`);
    });
  }

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
