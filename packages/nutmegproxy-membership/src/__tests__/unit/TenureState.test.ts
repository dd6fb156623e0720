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
  function holdUntilRenewed(): TenureState {
    const state = new TenureState(OWN, PERIODS);
    state.renewLease(at(1_000));
    return state;
  }

  describe('ends', () => {
    it('is the instant at which the member left the record', () => {
      const state = holdUntilRenewed();
      state.remove(at(3_000));
      assert.equal(state.holds(at(3_000)), false);
      assert.equal(state.ends(), 3_000);
    });

    it('is not put off by a removal that is learned late', () => {
      const state = holdUntilRenewed();
      const before = state.ends();
      state.remove(at(60_000));
      assert.equal(state.ends(), before);
    });

    it('is the instant at which the store was heard to have ended the lease', () => {
      const state = holdUntilRenewed();
      state.endLease(at(4_000));
      assert.equal(state.holds(at(4_000)), false);
      assert.equal(state.ends(), 4_000);
    });
  });
});
