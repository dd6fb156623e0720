import type {Instant, WallTime} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {FleetOwnership} from '../../FleetOwnership.ts';

const WALL_OFFSET_MS = 1_700_000_000_000;
const CONFIRMED_AT_MS = 10_000;
/** Time in milliseconds after the last renewal for which the next owner expects orders of this one. */
const {ownershipTtlMs: OWNERSHIP_TTL_MS, unconfirmedGraceMs: UNCONFIRMED_GRACE_MS} =
  DEFAULT_LEASE_TIMES;
const MAX_ACTING_MS = OWNERSHIP_TTL_MS + UNCONFIRMED_GRACE_MS;

describe('FleetOwnership', () => {
  let ownership: FleetOwnership;

  /** State after `elapsedMs` on the monotonic clock, while the wall clock is ahead by `aheadMs`. */
  function stateAfter(elapsedMs: number, aheadMs = 0): string {
    const now = (CONFIRMED_AT_MS + elapsedMs) as Instant;
    return ownership.state(now, (now + WALL_OFFSET_MS + aheadMs) as WallTime);
  }

  beforeEach(() => {
    ownership = new FleetOwnership(
      {lease: '1' as LeaseId, leaseTimes: DEFAULT_LEASE_TIMES, term: 0, token: 1 as OwnershipToken},
      CONFIRMED_AT_MS as Instant,
      (CONFIRMED_AT_MS + WALL_OFFSET_MS) as WallTime,
    );
  });

  it('is proved while its lease is valid, then unproved, then over', () => {
    assert.equal(stateAfter(OWNERSHIP_TTL_MS), 'proved');
    assert.equal(stateAfter(OWNERSHIP_TTL_MS + 1), 'unproved');
    assert.equal(stateAfter(MAX_ACTING_MS + 1), 'over');
  });

  describe('its event fields', () => {
    const now = (CONFIRMED_AT_MS + 3_000) as Instant;
    const wall = (now + WALL_OFFSET_MS) as WallTime;

    it('tell the age of the last confirmation from that of other calls to the store', () => {
      ownership.confirm((now - 2_500) as Instant, (wall - 2_500) as WallTime);
      ownership.directorySeenAt = (now - 120) as Instant;
      assert.deepEqual(ownership.describe(now, wall), {
        confirmedMs: 2_500,
        directorySeenMs: 120,
        termMs: 3_000,
        wasSuspended: false,
      });
    });

    it('count a suspension, and omit the directory before it was listed', () => {
      const {confirmedMs, directorySeenMs, wasSuspended} = ownership.describe(
        now,
        (wall + 4_000) as WallTime,
      );
      assert.deepEqual(
        {confirmedMs, directorySeenMs, wasSuspended},
        {confirmedMs: 7_000, directorySeenMs: undefined, wasSuspended: true},
      );
    });
  });

  describe('after a suspension, which the monotonic clock does not count', () => {
    it('is unproved until a renewal', () => {
      assert.equal(stateAfter(10, 1_000), 'unproved');
      const now = (CONFIRMED_AT_MS + 20) as Instant;
      const wall = (now + WALL_OFFSET_MS + 1_000) as WallTime;
      ownership.confirm(now, wall);
      assert.equal(ownership.state(now, wall), 'proved');
    });

    it('is over when it has lasted longer than the next owner waits for', () => {
      assert.equal(stateAfter(10, MAX_ACTING_MS), 'over');
    });

    it('never allows orders later than that, by either clock', () => {
      fc.assert(
        fc.property(fc.nat(30_000), fc.nat(30_000), (elapsedMs, suspendedMs) => {
          const isOver = stateAfter(elapsedMs, suspendedMs) === 'over';
          const isLate = elapsedMs + suspendedMs > MAX_ACTING_MS + 500;
          assert.ok(isOver || !isLate);
        }),
        {seed: 7},
      );
    });
  });

  it('does not end when the time of day jumps by seconds, forward or back', () => {
    assert.equal(stateAfter(10, 5_000), 'unproved');
    assert.equal(stateAfter(10, -5_000), 'proved');
  });

  it('is as of the latest sent renewal, in whichever order renewals are recorded', () => {
    const sent = [700, 400].map((elapsedMs) => (CONFIRMED_AT_MS + elapsedMs) as Instant);
    for (const requestedAt of sent) {
      ownership.confirm(requestedAt, (requestedAt + WALL_OFFSET_MS) as WallTime);
    }
    assert.equal(ownership.confirmedAt, sent[0]);
    assert.equal(stateAfter(700 + OWNERSHIP_TTL_MS), 'proved');
    assert.equal(stateAfter(700 + OWNERSHIP_TTL_MS + 1), 'unproved');
  });

  it('stays over once it has ended', () => {
    ownership.end();
    assert.equal(stateAfter(0), 'over');
  });
});
