import type {Run} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {reconcileListing} from '../../ListingReconciler.ts';
import {failTwice, findMinion, JOB_A, JOB_B, LASTING, play} from './ExclusionSamples.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';

/** Time in milliseconds for which a failure on a minion speaks against a last attempt. */
const RECENT_MS = 8_000;

describe('A task on its last attempt beside a minion that stays bad', () => {
  it('waits for a trusted minion instead of being the trial of the bad one', () => {
    const sample = new SampleFleet(1);
    const bad = findMinion(sample);
    const full = sample.addMinion('full');
    sample.addJob('proofs', [
      shape({
        estimateMs: 12_000,
        requiredLabel: 'full',
        resources: {cpuMilli: 4_000, gpus: 0, memoryMb: 1},
      }),
    ]);
    full.description = {...full.description, labels: ['full', 'r1']};
    const [filler] = sample.plan(0);
    assert.equal(filler?.minion, full.id);
    const job = sample.addJob('proofs', [shape()], 100);
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    step.failures.set(0, [1 as Run['number']]);
    step.recordRunNumber(0, 1 as Run['number']);
    failTwice(bad, 100);
    play(sample, 200, 30_000, ({minion, sentAt, step: {job: other}}, now) => {
      if (other === job) {
        return minion === bad.id ? 'failed' : 'done';
      }
      return now - sentAt >= 12_000 ? 'done' : undefined;
    });
    assert.equal(job.status, 'completed');
  });
});

describe('The last attempt of a task', () => {
  it('starts although another job fails every few seconds on the only minion', () => {
    const sample = new SampleFleet(1);
    sample.addJob('proofs', [LASTING]);
    const job = sample.addJob('proofs', [shape()]);
    let failures = 0;
    play(sample, 0, 120_000, ({sentAt, step}, now) => {
      if (step.job !== job) {
        return now - sentAt >= 3_500 ? 'failed' : undefined;
      }
      failures += 1;
      return failures === 1 ? 'failed' : 'done';
    });
    assert.equal(job.status, 'completed');
  });

  it('waits after a run of its owner that counted as lost and has failed', () => {
    const sample = new SampleFleet(1);
    sample.fleet.formerReleasedAt = at(-60_000);
    const minion = findMinion(sample);
    const job = sample.addJob('proofs', [shape()]);
    const [run] = sample.plan(0);
    assert.ok(run);
    minion.missedCalls = 2;
    sample.fleet.expireLease(minion);
    minion.missedCalls = 0;
    const {number, task} = run;
    const result = {checkpoint: undefined, number, outcome: 'failed' as const, sequence: 1, task};
    reconcileListing(
      sample.fleet,
      minion,
      {bornAt: 1, clockMs: 20_000, ended: [result], mayOmitResults: false, running: []},
      {appliedThrough: 0, now: at(20_000), requestedAt: at(20_000)},
    );
    sample.fleet.clearUnknownResults(minion);
    failTwice(minion, 20_000);
    const startedAt = play(sample, 20_100, 50_000, () => 'done').get(job)?.[0] ?? Infinity;
    assert.ok(startedAt >= 20_000 + RECENT_MS, `started at ${startedAt} ms`);
  });
});

describe('The last attempt of a task that failed under a former owner', () => {
  const MAX_WAIT_MS = 10_000;

  /**
   * Returns after how many milliseconds it starts on the only minion, which has failed other tasks and has
   * no other work that could show that it is sound; `turnAtMs` is when this owner may first start it.
   */
  function measureWait(turnAtMs: number): number {
    const sample = new SampleFleet(1);
    sample.fleet.formerReleasedAt = at(0);
    const job = sample.addJob('proofs', [shape()]);
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    step.failures.set(0, [1 as Run['number']]);
    step.recordRunNumber(0, 1 as Run['number']);
    failTwice(findMinion(sample), turnAtMs);
    const starts = play(sample, turnAtMs, turnAtMs + 30_000, () => 'done');
    return (starts.get(job)?.[0] ?? Infinity) - turnAtMs;
  }

  it('waits for a trusted minion', () => {
    const waitedMs = measureWait(0);
    assert.ok(waitedMs >= RECENT_MS, `started after ${waitedMs} ms`);
  });

  it('starts within ten seconds of the end of the former ownership', () => {
    const waitedMs = measureWait(0);
    assert.ok(waitedMs <= MAX_WAIT_MS, `started after ${waitedMs} ms`);
  });

  it('does not count its wait anew when its turn comes late under this owner', () => {
    const waitedMs = measureWait(10_500);
    assert.ok(waitedMs <= MAX_WAIT_MS, `started after ${waitedMs} ms`);
  });
});

describe('The last attempt of a task whose turn came long ago', () => {
  const FAILED_AT_MS = 13_500;
  /** Time for which nothing of a job runs until callers count it as lost, as the users specify. */
  const LOST_MS = 3_000;

  /** Returns how long it waits after a failure for the other minion, which has failed another task just then. */
  function measureWait(count: number): number {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape({count, estimateMs: 60_000, maxPerMinion: 1})]);
    const failedOn: string[] = [];
    const starts = play(sample, 0, FAILED_AT_MS + 20_000, ({minion, task}, now) => {
      if (task.index > 0 || now < FAILED_AT_MS || failedOn.length > 0) {
        return undefined;
      }
      failedOn.push(minion);
      for (const {id, trust} of sample.fleet.minions.values()) {
        if (id !== minion) {
          trust.recordFailure(JOB_A, at(now));
        }
      }
      return 'failed';
    });
    return (starts.get(job)?.at(-1) ?? Infinity) - FAILED_AT_MS;
  }

  it('waits no longer than until its job counts as lost, if nothing of that runs', () => {
    const waitedMs = measureWait(1);
    assert.ok(waitedMs > 0 && waitedMs < LOST_MS, `${waitedMs} ms`);
  });

  it('is kept for a better minion while another task of its job runs', () => {
    const waitedMs = measureWait(2);
    assert.ok(waitedMs >= RECENT_MS, `${waitedMs} ms`);
  });
});

describe('A task that has failed on the only minion that can run it', () => {
  /** Time for which nothing of a job runs until callers count it as lost, as the users specify. */
  const LOST_MS = 3_000;

  /** Plays a job on the one minion with its label, beside idle ones; returns how long it waits after its first end. */
  function measureWait(
    maxAttempts: number,
    change: {readonly failsOthers?: boolean; readonly isFull?: boolean} = {},
  ): number {
    const sample = new SampleFleet(3, [queue('proofs', {maxAttempts})]);
    const only = sample.addMinion('only', {labels: ['only', 'r1']});
    if (change.isFull === true) {
      const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: 1};
      sample.addJob('proofs', [
        shape({count: 3, longRunning: true, requiredLabel: 'a', resources}),
      ]);
    }
    const job = sample.addJob('proofs', [shape({requiredLabel: 'only'})]);
    let failedAt: number | undefined;
    const starts = play(sample, 0, 30_000, ({step}, now) => {
      if (step.job !== job) {
        return undefined;
      }
      if (failedAt === undefined) {
        failedAt = now;
        if (change.failsOthers === true) {
          only.trust.recordFailure(JOB_B, at(now));
        }
        return 'failed';
      }
      return 'done';
    });
    return (starts.get(job)?.[1] ?? Infinity) - (failedAt ?? 0);
  }

  for (const maxAttempts of [2, 3]) {
    // Guards against a last attempt that is kept for a better minion where there is none.
    it(`starts there again before its job counts as lost, beside free room (${maxAttempts} attempts)`, () => {
      const waitedMs = measureWait(maxAttempts);
      assert.ok(waitedMs < LOST_MS, `${waitedMs} ms`);
    });
  }

  it('keeps its last attempt while the minion fails other jobs too', () => {
    const waitedMs = measureWait(2, {failsOthers: true});
    assert.ok(waitedMs >= RECENT_MS, `${waitedMs} ms`);
  });

  it('keeps its last attempt while over half of the service is in use', () => {
    const waitedMs = measureWait(2, {isFull: true});
    assert.ok(waitedMs >= RECENT_MS, `${waitedMs} ms`);
  });
});

describe('A task on its last attempt', () => {
  it('avoids a failing minion on which a run from before the failures has ended since', () => {
    const sample = new SampleFleet(1);
    const minion = findMinion(sample);
    sample.addJob('proofs', [shape({estimateMs: 3_000})]);
    const [old] = sample.plan(0);
    const job = sample.addJob('proofs', [shape()], 100);
    const step = job.occurrence(0)?.[0];
    assert.ok(old && step);
    step.failures.set(0, [1 as Run['number']]);
    step.recordRunNumber(0, 1 as Run['number']);
    minion.trust.recordFailure(JOB_A, at(1_000));
    sample.fleet.finishRun(old, 'done', undefined, at(1_100));
    assert.equal(sample.plan(1_200).length, 0);
  });
});

describe('A minion with lasting tasks only', () => {
  it('is not quarantined for failures of two jobs an hour apart', () => {
    const {trust} = findMinion(new SampleFleet(1));
    trust.recordFailure(JOB_A, at(0));
    trust.recordFailure(JOB_B, at(3_600_000));
    assert.equal(trust.level(at(3_600_001)), 'trusted');
  });
});
