import type {Instant} from '@nutmegproxy/core';
import type {StepShape} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES, Fleet} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {POLL_WAIT_MS, SHORT_POLL_WAIT_MS} from '../../OwnerConstants.ts';
import {
  choosePollDelayMs,
  choosePollDue,
  choosePollWaitMs,
  isRenewalDue,
} from '../../PollPacing.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const NOW = 0 as Instant;
const SMALL_FLEET = 45;
const LARGE_FLEET = 600;
const ORDINARY = {};
const BACKFILL = {fillsSpareCpu: true};
const {minionLeaseMs} = DEFAULT_LEASE_TIMES;
const SERVING = {longRunning: true, tailTargetMs: 50};

describe('Pacing of polls', () => {
  let fleet: Fleet;
  let minion: MinionState;
  let jobs: number;

  function run(shape: Partial<StepShape>): void {
    jobs += 1;
    fleet.startRun(createStep(jobs, shape), 0, minion, NOW);
  }

  /** Returns a minion whose lease was renewed a time ago. */
  function renew(beforeMs: number): MinionState {
    const renewed = createMinion();
    const renewedAt = (NOW - beforeMs) as Instant;
    renewed.leaseClock.assumeUsualLeases();
    renewed.leaseClock.observe(0, renewedAt);
    renewed.leaseClock.grantLease(minionLeaseMs, renewedAt);
    return renewed;
  }

  beforeEach(() => {
    jobs = 0;
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    minion.leaseClock.observe(0, NOW);
    fleet.minions.set(minion.id, minion);
  });

  describe('the renewal of a lease', () => {
    it('is due once half of the lease has passed', () => {
      assert.ok(!isRenewalDue(renew(minionLeaseMs * 0.3), NOW));
      assert.ok(isRenewalDue(renew(minionLeaseMs * 0.6), NOW));
    });

    it('is not due for a silent minion, which is granted none', () => {
      const silent = renew(minionLeaseMs);
      silent.missedCalls = 1;
      assert.ok(!isRenewalDue(silent, NOW));
    });
  });

  describe('the order of polls while their number is limited', () => {
    const FIRST = {isFirst: true};
    const LATER = {isFirst: false};
    it('begins with the lease that ends first', () => {
      const [early, late] = [renew(3_000), renew(1_000)];
      assert.ok(choosePollDue(early, LATER, NOW).at < choosePollDue(late, LATER, NOW).at);
    });

    it('puts an urgent listing before the renewal of a new lease', () => {
      run(ORDINARY);
      assert.ok(choosePollDue(minion, LATER, NOW).at < choosePollDue(renew(0), LATER, NOW).at);
    });

    it('puts the renewal of a lease of which more than half has passed before an urgent listing', () => {
      run(ORDINARY);
      const due = renew(minionLeaseMs * 0.6);
      assert.ok(choosePollDue(due, LATER, NOW).at < choosePollDue(minion, LATER, NOW).at);
    });

    it('begins with the first polls of a minion', () => {
      const first = choosePollDue(createMinion(), FIRST, NOW);
      const due = choosePollDue(renew(minionLeaseMs), LATER, NOW);
      assert.ok(first.at < due.at && first.inSlowLoopAt < due.inSlowLoopAt);
    });

    it('renews leases of a former owner first in a slow event loop', () => {
      const unread = choosePollDue(createMinion(), FIRST, NOW);
      const read = choosePollDue(minion, FIRST, NOW);
      assert.equal(read.at, unread.at);
      assert.ok(read.inSlowLoopAt < unread.inSlowLoopAt);
    });
  });

  describe('the delay of the next poll', () => {
    it('grows with the fleet while only backfill and serving tasks run', () => {
      run(BACKFILL);
      run(SERVING);
      const small = choosePollDelayMs(minion, SMALL_FLEET);
      const large = choosePollDelayMs(minion, LARGE_FLEET);
      assert.ok(small <= 50, `${small} ms`);
      assert.ok(large > small * 5, `${large} ms`);
      assert.ok(choosePollDelayMs(minion, 100 * LARGE_FLEET) <= 500);
    });

    it('is zero while an ordinary task runs', () => {
      run(BACKFILL);
      run(ORDINARY);
      assert.equal(choosePollDelayMs(minion, LARGE_FLEET), 0);
    });

    it('is zero while a run is being stopped, since its processors are waited for', () => {
      run(BACKFILL);
      for (const each of minion.runs) {
        fleet.stopRun(each, 'interference');
      }
      assert.equal(choosePollDelayMs(minion, LARGE_FLEET), 0);
    });

    it('is zero for a minion that drains, has not responded or has no reading of its clock', () => {
      run(BACKFILL);
      minion.missedCalls = 1;
      assert.equal(choosePollDelayMs(minion, LARGE_FLEET), 0);
      minion.missedCalls = 0;
      minion.description = {...minion.description, isDraining: true};
      assert.equal(choosePollDelayMs(minion, LARGE_FLEET), 0);
      assert.equal(choosePollDelayMs(createMinion(), LARGE_FLEET), 0);
    });
  });

  describe('the wait of a poll', () => {
    it('is short beside backfill on a minion with serving tasks', () => {
      const conditions = {isNearTarget: false, overdueInMs: Infinity};
      run(SERVING);
      assert.equal(choosePollWaitMs(minion, conditions), POLL_WAIT_MS);
      run(BACKFILL);
      assert.equal(choosePollWaitMs(minion, conditions), SHORT_POLL_WAIT_MS);
    });

    it('ends when a run is overdue', () => {
      run(ORDINARY);
      const conditions = {isNearTarget: false, overdueInMs: 1_234.5};
      assert.equal(choosePollWaitMs(minion, conditions), 1_235);
    });
  });
});
