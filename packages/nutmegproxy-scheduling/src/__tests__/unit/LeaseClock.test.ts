import type {Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LeaseClock} from '../../LeaseClock.ts';
import {DEFAULT_LEASE_TIMES} from '../../LeaseTimes.ts';

const at = (ms: number): Instant => ms as Instant;

describe('LeaseClock', () => {
  describe('a minion of a former owner', () => {
    it('keeps the former lease, although this owner has granted none yet', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.assumeLeasedUntil(at(16_000));
      clock.observe(500_000, at(100));
      assert.equal(clock.isExpired(at(101)), false);
      assert.equal(clock.isExpired(at(9_000)), false);
      assert.equal(clock.isExpired(at(11_000)), true);
    });

    it('keeps a former lease of the usual duration only, when others are ruled out', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.assumeUsualLeases();
      clock.observe(500_000, at(0));
      assert.equal(clock.isExpired(at(7_900)), false);
      assert.equal(clock.isExpired(at(7_910)), true);
    });

    it('keeps the longest lease when a clock that is ahead makes its incarnation look old', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.assumeEstablished(3_600_000);
      clock.observe(19_000, at(0));
      assert.equal(clock.isExpired(at(10_400)), false);
    });

    it('keeps a former lease of the usual duration only, when its own clock shows its age too', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.assumeEstablished(3_600_000);
      clock.observe(21_000, at(0));
      assert.equal(clock.isExpired(at(7_910)), true);
    });

    it('counts as leased until the assumed expiry if it never answers', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.assumeLeasedUntil(at(16_000));
      assert.equal(clock.isExpired(at(15_999)), false);
      assert.equal(clock.isExpired(at(16_001)), true);
    });
  });

  describe('a lease', () => {
    it('expires on the clock of the minion, which may run 2 % slow', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.observe(0, at(0));
      const until = clock.grantLease(20_000, at(1_000));
      assert.equal(until, 21_000);
      assert.equal(clock.isExpired(at(21_400)), false);
      assert.equal(clock.isExpired(at(21_700)), true);
    });

    it('cannot be granted before the clock is known', () => {
      assert.equal(new LeaseClock(DEFAULT_LEASE_TIMES).grantLease(8_000, at(0)), undefined);
    });

    it('is not shortened by an answer that arrives out of order', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.observe(5_000, at(1_000));
      clock.observe(4_000, at(1_100));
      assert.equal(clock.grantLease(1_000, at(1_100)), 6_100);
    });
  });

  describe('a minion that restarted', () => {
    it('has no expired lease before it answers or the given time has passed', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.observe(9_000, at(0));
      clock.reset(at(60_000));
      assert.equal(clock.isExpired(at(59_999)), false);
      assert.equal(clock.isExpired(at(60_001)), true);
    });

    it('has a clock that does not continue the one before', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      assert.equal(clock.isContinuedBy(9_000, at(0)), false);
      clock.observe(9_000, at(0));
      assert.equal(clock.isContinuedBy(10_000, at(1_000)), true);
      // 2 % slow, and 30 ms more.
      assert.equal(clock.isContinuedBy(9_980, at(1_000)), true);
      assert.equal(clock.isContinuedBy(9_950, at(1_000)), false);
      assert.equal(clock.isContinuedBy(1_000, at(1_000)), false);
      clock.reset(at(60_000));
      assert.equal(clock.isContinuedBy(10_000, at(1_000)), false);
    });

    it('has the leases of its new incarnation once it answers', () => {
      const clock = new LeaseClock(DEFAULT_LEASE_TIMES);
      clock.reset(at(60_000));
      clock.observe(0, at(0));
      assert.equal(clock.isExpired(at(10_400)), false);
      assert.equal(clock.isExpired(at(10_500)), true);
    });
  });
});
