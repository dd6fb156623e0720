/** A trial after a quarantine comes, and only a run that shows something passes it. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndOfRun} from './ExclusionSamples.ts';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {failTwice, findMinion, LASTING, play} from './ExclusionSamples.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';

/** Longest time in milliseconds from one trial of a minion that fails it to the next. */
const MAX_BETWEEN_TRIALS_MS = 5_000;

describe('A gang', () => {
  it('starts on sound minions that were all quarantined and each take several members', () => {
    const sample = new SampleFleet(2);
    failTwice(findMinion(sample), 0);
    failTwice(findMinion(sample, 1), 0);
    const gang = sample.addJob('proofs', [shape({count: 4, gang: true})], 100);
    assert.ok(play(sample, 100, 60_000).has(gang));
  });
});

describe('A lasting task of a sound job', () => {
  it('gets a trial although an older lasting job fails in each trial', () => {
    const sample = new SampleFleet(1);
    const faulty = sample.addJob('proofs', [LASTING]);
    const sound = sample.addJob('proofs', [LASTING]);
    const end: EndOfRun = ({sentAt, step}, now) =>
      step.job === faulty && now - sentAt >= 300 ? 'failed' : undefined;
    play(sample, 0, 200);
    for (const run of [...findMinion(sample).runs]) {
      sample.fleet.finishRun(
        run,
        run.step.job === faulty ? 'failed' : 'stopped',
        undefined,
        at(300),
      );
    }
    failTwice(findMinion(sample), 300);
    const starts = play(sample, 400, 120_000, end).get(sound);
    assert.ok(starts !== undefined, 'no start within 120 s');
  });
});

describe('A sound task that only minions on trial can run', () => {
  for (const faultyJobs of [3, 6]) {
    // Guards against jobs that fail all their runs and take each trial before the sound one.
    it(`gets a trial soon although ${faultyJobs} older lasting jobs fail in each trial`, () => {
      const sample = new SampleFleet(1);
      const faulty = Array.from({length: faultyJobs}, () => sample.addJob('proofs', [LASTING]));
      const sound = sample.addJob('proofs', [LASTING]);
      const end: EndOfRun = ({sentAt, step}, now) =>
        faulty.includes(step.job) && now - sentAt >= 300 ? 'failed' : undefined;
      failTwice(findMinion(sample), 0);
      const startedAt = play(sample, 0, 120_000, end).get(sound)?.[0];
      const withinMs = (faultyJobs + 1) * MAX_BETWEEN_TRIALS_MS;
      assert.ok(startedAt !== undefined && startedAt <= withinMs, `${startedAt}`);
    });
  }

  it('starts on the only minion with its label, which runs a lasting task', () => {
    const sample = new SampleFleet(3);
    const fast = sample.addMinion('fast', {labels: ['fast', 'r1']});
    sample.addJob('proofs', [{...LASTING, requiredLabel: 'fast'}]);
    play(sample, 0, 0);
    failTwice(fast, 100);
    const job = sample.addJob('proofs', [shape({requiredLabel: 'fast'})], 200);
    const startedAt = play(sample, 200, 20_000).get(job)?.[0];
    assert.ok(startedAt !== undefined && startedAt <= 200 + MAX_BETWEEN_TRIALS_MS, `${startedAt}`);
  });

  it('starts with its gang on the two minions with their label', () => {
    const sample = new SampleFleet(2);
    const labelled = ['fast-1', 'fast-2'].map((name) =>
      sample.addMinion(name, {labels: ['fast', 'r1']}),
    );
    sample.addJob('proofs', [{...LASTING, count: 2, maxPerMinion: 1, requiredLabel: 'fast'}]);
    play(sample, 0, 0);
    labelled.forEach((minion) => {
      failTwice(minion, 100);
    });
    const gang = sample.addJob(
      'proofs',
      [shape({count: 4, gang: true, maxPerMinion: 2, requiredLabel: 'fast'})],
      200,
    );
    const startedAt = play(sample, 200, 20_000).get(gang)?.[0];
    assert.ok(startedAt !== undefined && startedAt <= 200 + MAX_BETWEEN_TRIALS_MS, `${startedAt}`);
  });
});

describe('A job whose task has failed the trial of a minion', () => {
  for (const [kind, change] of Object.entries({
    backfill: {fillsSpareCpu: true},
    gang: {count: 2, gang: true},
    lasting: {longRunning: true},
    short: {},
  })) {
    it(`gets the next trial when no other work needs it (${kind})`, () => {
      const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 3})]);
      failTwice(findMinion(sample), 0);
      const job = sample.addJob('proofs', [shape({estimateMs: 60_000, ...change})]);
      let failures = 0;
      play(sample, 0, 30_000, ({phase, task}) => {
        if (phase === 'stopping') {
          return 'stopped';
        }
        failures += task.index === 0 ? 1 : 0;
        return task.index === 0 && failures === 1 ? 'failed' : undefined;
      });
      assert.equal(failures > 1, true, 'no second run');
      assert.equal(job.isFinal, false);
      assert.equal(findMinion(sample).trust.level(at(30_000)), 'trusted');
    });
  }
});

describe('A trial', () => {
  it('is not passed by a run that stands still', () => {
    const sample = new SampleFleet(1);
    const minion = findMinion(sample);
    failTwice(minion, 0);
    sample.addJob('proofs', [shape()]);
    const [run] = sample.plan(2_100);
    assert.ok(run);
    run.phase = 'running';
    run.confirmedAt = at(2_100);
    const monitor = new RunProgressMonitor(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    // A poll waits for up to 2 s, so the first listing may be late.
    for (const listedAt of [4_000, 5_200]) {
      monitor.checkProgress(sample.fleet, minion, at(listedAt));
    }
    assert.equal(minion.trust.level(at(5_200)), 'trial');
  });

  it('is not passed by the end of a run from before the quarantine', () => {
    const sample = new SampleFleet(1);
    const minion = findMinion(sample);
    sample.addJob('proofs', [shape()]);
    const [run] = sample.plan(0);
    assert.ok(run);
    failTwice(minion, 100);
    sample.fleet.finishRun(run, 'done', undefined, at(200));
    assert.equal(minion.trust.level(at(300)), 'quarantined');
  });

  it('is not passed by an old run that the minion lists again', () => {
    const sample = new SampleFleet(1);
    const minion = findMinion(sample);
    const job = sample.addJob('proofs', [LASTING]);
    const [run] = sample.plan(0);
    assert.ok(run);
    run.phase = 'running';
    run.confirmedAt = at(0);
    failTwice(minion, 100);
    sample.fleet.recordLostRun(run, 'not listed');
    const [step] = job.steps();
    assert.ok(step);
    const adopted = sample.fleet.adoptRun(step, run.task, run.number, minion, at(2_200));
    adopted.percent = 100;
    new RunProgressMonitor(sample.estimator, DEFAULT_PLATFORM_BOUNDS).checkProgress(
      sample.fleet,
      minion,
      at(6_000),
    );
    assert.equal(minion.trust.level(at(6_000)), 'trial');
  });
});
