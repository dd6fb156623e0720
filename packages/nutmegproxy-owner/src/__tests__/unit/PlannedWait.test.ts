import type {Instant} from '@nutmegproxy/core';

import {DEFAULT_LEASE_TIMES, LeaseClock} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MAX_PLAN_IDLE_MS, MAX_PLAN_PAUSE_MS, TAKEOVER_JITTER_MS} from '../../OwnerConstants.ts';

/** Time in milliseconds from the end of its run within which a lasting task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds that is left for the store calls of an acquisition and for the start order. */
const CALLS_MS = 600;
const CLOCK_MS = 100_000;
const NOW = 5_000 as Instant;

describe('The wait of a lasting task under planned stops', () => {
  it('is within its deadline as the sum of its parts', () => {
    const leaseClock = new LeaseClock(DEFAULT_LEASE_TIMES);
    leaseClock.assumeUsualLeases();
    leaseClock.observe(CLOCK_MS, NOW);
    leaseClock.grantLease(DEFAULT_LEASE_TIMES.minionLeaseMs, NOW);
    const planMs = MAX_PLAN_PAUSE_MS + MAX_PLAN_IDLE_MS;
    const sumMs = leaseClock.expiresInMs(NOW) + TAKEOVER_JITTER_MS + planMs + CALLS_MS;
    assert.ok(sumMs <= RESTART_DEADLINE_MS, `${sumMs} ms`);
  });
});
