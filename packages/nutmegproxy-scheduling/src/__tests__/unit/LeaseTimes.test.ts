import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LeaseTimes} from '../../LeaseTimes.ts';

import {deriveLeaseTimes} from '../../LeaseTimes.ts';

const SEED = 59;
/** Rate by which a minion's clock may run slow, as the users' requirements say. */
const SLOW_RATE = 0.02;
/** Lateness in milliseconds of the timer that ends a lease, which the owner's own clock model allows for. */
const TIMER_LATENESS_MS = 250;

/** Lateness in milliseconds of an order that was sent as the ownership of its sender ended. */
const ORDER_LATENESS_MS = 500;

/** Checks a property of the times under any bounds that a deployment may have. */
function checkAll(check: (times: LeaseTimes, maxMinionLeaseMs: number) => void): void {
  const bounds = fc.record({
    maxMinionLeaseMs: fc.integer({max: 60_000, min: 1_000}),
    minStoreLeaseMs: fc.integer({max: 10_000, min: 100}),
  });
  fc.assert(
    fc.property(bounds, (each) => {
      check(deriveLeaseTimes(each), each.maxMinionLeaseMs);
    }),
    {seed: SEED},
  );
}

/** Returns how long a lease may last on a minion whose clock is slow, in real milliseconds. */
function stretch(leaseMs: number): number {
  return leaseMs / (1 - SLOW_RATE) + TIMER_LATENESS_MS;
}

describe('The times of leases', () => {
  it('are those of the first sites when the settings tell no bounds', () => {
    const times = deriveLeaseTimes(DEFAULT_PLATFORM_BOUNDS);
    assert.equal(times.minionLeaseMs, 7_500);
    assert.equal(times.ownershipTtlMs, 2_000);
    assert.equal(times.unconfirmedGraceMs, 6_500);
    assert.equal(times.maxFormerLeaseMs, 10_000);
    assert.equal(times.maxFormerStartLeaseMs, 10_955);
    assert.equal(times.maxStartLeaseMs, 12_955);
  });

  describe('under any bounds of a deployment', () => {
    it('never grant a lease that a minion would shorten', () => {
      checkAll(({minionLeaseMs}, maxMinionLeaseMs) => {
        assert.ok(minionLeaseMs <= maxMinionLeaseMs);
      });
    });

    it('ask the store for no shorter lease than it grants', () => {
      const times = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, minStoreLeaseMs: 3_000});
      assert.equal(times.ownershipTtlMs, 3_000);
    });

    it('let an owner act for no longer than the leases last that it may grant', () => {
      checkAll(({maxLeaseSinceConfirmedMs, ownershipTtlMs, unconfirmedGraceMs}) => {
        assert.ok(ownershipTtlMs + unconfirmedGraceMs <= maxLeaseSinceConfirmedMs);
      });
    });

    it('count a former owner’s leases until they have ended on a slow minion', () => {
      checkAll(({maxFormerLeaseMs, maxLeaseSinceConfirmedMs, minionLeaseMs, ownershipTtlMs}) => {
        const lastGrantMs = Math.max(ownershipTtlMs, maxLeaseSinceConfirmedMs - minionLeaseMs);
        assert.ok(maxFormerLeaseMs >= lastGrantMs + stretch(minionLeaseMs));
      });
    });

    it('count a start that reached a later incarnation until any lease there has ended', () => {
      checkAll(({maxFormerStartLeaseMs, maxStartLeaseMs, ownershipTtlMs}, maxMinionLeaseMs) => {
        assert.ok(maxFormerStartLeaseMs >= stretch(maxMinionLeaseMs) + ORDER_LATENESS_MS);
        assert.ok(maxStartLeaseMs >= ownershipTtlMs + maxFormerStartLeaseMs);
      });
    });

    it('count an order of a former owner that had not noticed its end until any lease has ended', () => {
      checkAll(({maxUncappedLeaseMs, unconfirmedGraceMs}, maxMinionLeaseMs) => {
        assert.ok(maxUncappedLeaseMs >= unconfirmedGraceMs + stretch(maxMinionLeaseMs));
      });
    });

    it('take an incarnation for established only once no order for the one before holds a lease', () => {
      checkAll(({establishedAfterMs}, maxMinionLeaseMs) => {
        assert.ok(establishedAfterMs >= stretch(maxMinionLeaseMs));
      });
    });
  });
});
