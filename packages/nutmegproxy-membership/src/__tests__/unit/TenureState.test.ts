import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {TenureState} from '../../TenureState.ts';

const OWN = brand<IncarnationId>('a-1');
const PERIODS = {outageLimitMs: 7_200_000, tenureTtlMs: 10_000, vouchPeriodMs: 5_000};

function at(milliseconds: number): Instant {
  return milliseconds as Instant;
}

describe('TenureState', () => {
  function createRenewedState(): TenureState {
    const state = new TenureState(OWN, PERIODS);
    state.recordLeaseRenewal(at(1_000));
    return state;
  }

  describe('expiresAt', () => {
    it('is the instant at which the removal from the record was observed', () => {
      const state = createRenewedState();
      state.recordRemoval(at(3_000));
      assert.equal(state.holdsTenure(at(3_000)), false);
      assert.equal(state.expiresAt(), 3_000);
    });

    it('is not delayed by a removal that is observed late', () => {
      const state = createRenewedState();
      const before = state.expiresAt();
      state.recordRemoval(at(60_000));
      assert.equal(state.expiresAt(), before);
    });

    it('is the instant at which the store reported the lease as expired', () => {
      const state = createRenewedState();
      state.expireLease(at(4_000));
      assert.equal(state.holdsTenure(at(4_000)), false);
      assert.equal(state.expiresAt(), 4_000);
    });
  });
});
