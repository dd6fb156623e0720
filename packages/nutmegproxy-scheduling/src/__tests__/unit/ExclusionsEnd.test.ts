/** No belief about a minion excludes it for ever, nor one that is sound for longer than some seconds. */

import type {JobId} from '@nutmegproxy/core';
import type {JobState, Run} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';

const JOB_A = brand<JobId>('a');
const TICK_MS = 100;

/**
 * Plans and lists at regular times up to `untilMs`, and ends runs as `resolve` says once they are
 * listed; runs without an outcome go on. Returns when each job's first run started, in milliseconds.
 */
function play(
  sample: SampleFleet,
  fromMs: number,
  untilMs: number,
  resolve: (run: Run) => 'done' | 'failed' | undefined = () => undefined,
): Map<JobState, number> {
  const monitor = new RunProgressMonitor(sample.estimator);
  const startedAt = new Map<JobState, number>();
  for (let now = fromMs; now <= untilMs; now += TICK_MS) {
    for (const run of sample.plan(now)) {
      if (!startedAt.has(run.step.job)) {
        startedAt.set(run.step.job, now);
      }
      run.phase = 'running';
      run.confirmedAt = at(now);
      run.percent = run.step.shape.longRunning ? 100 : 0;
    }
    for (const minion of sample.fleet.minions.values()) {
      for (const run of [...minion.runs]) {
        const outcome = now > run.sentAt ? resolve(run) : undefined;
        if (outcome !== undefined) {
          sample.fleet.finishRun(run, outcome, undefined, at(now));
        }
      }
      monitor.checkProgress(sample.fleet, minion, at(now));
    }
  }
  return startedAt;
}

describe('A task that has failed', () => {
  it('is tried again on the only minion that has its required label', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 3})]);
    sample.addMinion('fast', {labels: ['fast', 'r1']});
    const job = sample.addJob('proofs', [shape({requiredLabel: 'fast'})]);
    let failures = 0;
    play(sample, 0, 30_000, () => {
      failures += 1;
      return failures === 1 ? 'failed' : 'done';
    });
    assert.equal(job.status, 'completed');
  });

  it('is tried again on the only minion that has room for it', () => {
    const sample = new SampleFleet(0, [queue('proofs', {maxAttempts: 3})]);
    sample.addMinion('small', {capacity: {cpuMilli: 500, gpus: 0, memoryMb: 8_000}});
    sample.addMinion('large');
    const job = sample.addJob('proofs', [shape()]);
    let failures = 0;
    play(sample, 0, 30_000, () => {
      failures += 1;
      return failures === 1 ? 'failed' : 'done';
    });
    assert.equal(job.status, 'completed');
  });

  it('gets its last attempt although no minion has had a successful run since', () => {
    const sample = new SampleFleet(3);
    const hopeless = [1, 2, 3].map(() => sample.addJob('proofs', [shape()]));
    play(sample, 0, 60_000, () => 'failed');
    assert.deepEqual(
      hopeless.map(({status}) => status),
      ['failed', 'failed', 'failed'],
    );
  });

  it('keeps its last attempt for a minion that has not failed lately, while there is one', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape()]);
    const [first] = sample.plan(0);
    assert.ok(first);
    sample.fleet.finishRun(first, 'failed', undefined, at(10));
    const other = [...sample.fleet.minions.values()].find(({id}) => id !== first.minion);
    assert.ok(other);
    other.trust.recordFailure(JOB_A, at(10));
    assert.equal(sample.plan(5_000).length, 0);
    assert.equal(job.status, 'running');
    assert.equal(sample.plan(20_000).length, 1);
  });
});
