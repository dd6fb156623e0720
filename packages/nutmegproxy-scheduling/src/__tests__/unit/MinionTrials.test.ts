/** A trial after a quarantine comes, and only a run that shows something passes it. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EndOfRun} from './ExclusionSamples.ts';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {failTwice, findMinion, LASTING, play} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

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
    const monitor = new RunProgressMonitor(sample.estimator);
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
    new RunProgressMonitor(sample.estimator).checkProgress(sample.fleet, minion, at(6_000));
    assert.equal(minion.trust.level(at(6_000)), 'trial');
  });
});
