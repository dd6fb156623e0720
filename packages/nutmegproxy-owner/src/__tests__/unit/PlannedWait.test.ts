import type {Instant} from '@nutmegproxy/core';

import {DEFAULT_LEASE_TIMES, LeaseClock} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MAX_PLAN_IDLE_MS, MAX_PLAN_PAUSE_MS, TAKEOVER_JITTER_MS} from '../../OwnerConstants.ts';
import {choosePlanIdle, choosePlanPause} from '../../OwnerUtils.ts';

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

describe('The time between two rounds of planning', () => {
  for (const hasOtherWork of [false, true]) {
    it(`has the same bound after each round, ${hasOtherWork ? 'with' : 'without'} other work`, () => {
      for (let roundMs = 0; roundMs <= 1_000; roundMs += 1) {
        const pauseMs = choosePlanPause(roundMs, {hasOtherWork});
        const sumMs = pauseMs + choosePlanIdle(pauseMs);
        assert.ok(sumMs <= MAX_PLAN_PAUSE_MS + MAX_PLAN_IDLE_MS, `${sumMs} ms after ${roundMs} ms`);
      }
    });
  }

  it('leaves four fifths of it to other work after a round of 60 ms', () => {
    assert.equal(choosePlanPause(60, {hasOtherWork: true}), 240);
  });

  it('is short after the same round when no other work waits', () => {
    assert.equal(choosePlanPause(60, {hasOtherWork: false}), MAX_PLAN_PAUSE_MS);
  });
});
