import type {JobId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MinionTrust} from '../../MinionTrust.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const [JOB_A, JOB_B] = [brand<JobId>('a'), brand<JobId>('b')];

describe('MinionTrust', () => {
  it('quarantines a minion on which two jobs fail in a row, but not one job twice', () => {
    const trust = new MinionTrust();
    assert.equal(trust.recordFailure(JOB_A, at(0)), false);
    assert.equal(trust.recordFailure(JOB_A, at(1)), false);
    assert.equal(trust.recordFailure(JOB_B, at(2)), true);
    assert.equal(trust.level(at(3)), 'quarantined');
  });

  it('allows a trial after the quarantine, and quarantines longer after a failed trial', () => {
    const trust = new MinionTrust();
    trust.recordStall(at(0));
    assert.equal(trust.level(at(1_999)), 'quarantined');
    assert.equal(trust.level(at(2_000)), 'trial');
    trust.recordFailure(JOB_A, at(2_100));
    assert.equal(trust.level(at(6_000)), 'quarantined');
    assert.equal(trust.level(at(6_200)), 'trial');
  });

  it('puts off the next trial for 8 s at most, however many runs are started before it', () => {
    const trust = new MinionTrust();
    trust.recordStall(at(0));
    for (let run = 0; run < 8; run += 1) {
      trust.postponeTrial(at(1_000));
    }
    assert.equal(trust.level(at(8_999)), 'quarantined');
    assert.equal(trust.level(at(9_000)), 'trial');
  });

  it('trusts a minion again after a successful run', () => {
    const trust = new MinionTrust();
    trust.recordStall(at(0));
    assert.equal(trust.recordSuccess(at(1)), true);
    assert.equal(trust.level(at(1)), 'trusted');
    assert.equal(trust.hasRecentFailures(at(1)), false);
  });

  describe('with one minion on which every run fails', () => {
    /** Runs jobs of one task on four minions; every run on m1 fails. Returns the failed jobs. */
    function countFailedJobs(jobs: number): number {
      const sample = new SampleFleet(4);
      let failed = 0;
      for (let now = 0; now < jobs * 50; now += 50) {
        const job = sample.addJob('proofs', [shape({estimateMs: 40})], now);
        for (let attempt = 0; attempt < 3; attempt += 1) {
          for (const run of sample.plan(now + attempt)) {
            const outcome = run.minion === 'm1' ? 'failed' : 'done';
            sample.fleet.finishRun(run, outcome, undefined, at(now + attempt));
          }
        }
        failed += job.status === 'failed' ? 1 : 0;
      }
      return failed;
    }

    it('fails no job, since that minion gets little work and no last attempt', () => {
      assert.equal(countFailedJobs(100), 0);
    });
  });
});
