import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {deriveLeaseTimes, findUnkeptPromises, TAKEOVER_MS} from '../../LeaseTimes.ts';

const SEED = 59;
const LEAST_OWNERSHIP_MS = 2_000;

describe('The promises that the platform allows', () => {
  it('are kept wherever a minion accepts a lease that is as long as a takeover', () => {
    const bounds = fc
      .record({
        minStoreLeaseMs: fc.integer({max: 30_000, min: 100}),
        spareMs: fc.integer({max: 30_000, min: 0}),
      })
      .map(({minStoreLeaseMs, spareMs}) => ({
        maxMinionLeaseMs: Math.max(LEAST_OWNERSHIP_MS, minStoreLeaseMs) + TAKEOVER_MS + spareMs,
        minStoreLeaseMs,
      }));
    fc.assert(
      fc.property(bounds, (each) => {
        assert.deepEqual(findUnkeptPromises(deriveLeaseTimes(each)), []);
      }),
      {seed: SEED},
    );
  });
});
