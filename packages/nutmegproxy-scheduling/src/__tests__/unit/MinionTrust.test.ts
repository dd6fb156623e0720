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

  describe('that a former owner passed on', () => {
    const BORN_AT = 1_000;

    /** Returns the trust of the next owner in a minion that has failed just before the takeover at 0 ms. */
    function passOn(bornAt: number | undefined = BORN_AT): MinionTrust {
      const former = new MinionTrust();
      former.recordFailure(JOB_A, at(-100));
      former.recordFailure(JOB_B, at(-100));
      const snapshot = former.export(bornAt, at(0));
      assert.ok(snapshot);
      const trust = new MinionTrust();
      trust.import(snapshot, at(0));
      return trust;
    }

    it('allows the next trial when it was due', () => {
      const trust = passOn();
      assert.equal(trust.level(at(1_899)), 'quarantined');
      assert.equal(trust.level(at(1_900)), 'trial');
    });

    it('is quarantined anew by one failure', () => {
      const trust = passOn();
      assert.ok(trust.recordFailure(JOB_A, at(2_000)));
      assert.equal(trust.level(at(5_999)), 'quarantined');
      assert.equal(trust.level(at(6_000)), 'trial');
    });

    it('ends 8 s after the last failure, however many owners pass it on', () => {
      let trust = passOn();
      for (let now = 3_000; now < 7_900; now += 1_000) {
        const snapshot = trust.export(BORN_AT, at(now));
        assert.ok(snapshot);
        trust = new MinionTrust();
        trust.import(snapshot, at(now));
      }
      assert.equal(trust.level(at(7_899)), 'trial');
      assert.equal(trust.level(at(7_900)), 'trusted');
      assert.equal(trust.hasRecentFailures(at(7_900)), false);
      assert.equal(trust.export(BORN_AT, at(7_900)), undefined);
      assert.equal(trust.endFormerDistrust(BORN_AT, at(7_900)), 'time');
    });

    it('ends when the minion is found restarted, and is kept while it is not', () => {
      const trust = passOn();
      assert.equal(trust.endFormerDistrust(BORN_AT, at(100)), undefined);
      assert.equal(trust.level(at(100)), 'quarantined');
      assert.equal(trust.endFormerDistrust(BORN_AT + 1, at(100)), 'restart');
      assert.equal(trust.level(at(100)), 'trusted');
      assert.equal(trust.recordFailure(JOB_A, at(200)), false);
    });

    it('does not end by the restart of a minion that has failed since', () => {
      const trust = passOn();
      trust.recordFailure(JOB_A, at(2_000));
      assert.equal(trust.endFormerDistrust(BORN_AT + 1, at(2_100)), undefined);
      assert.equal(trust.level(at(2_100)), 'quarantined');
    });

    it('is nothing for a minion that is trusted', () => {
      const trust = new MinionTrust();
      trust.recordFailure(JOB_A, at(0));
      assert.equal(trust.export(BORN_AT, at(1)), undefined);
    });
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
