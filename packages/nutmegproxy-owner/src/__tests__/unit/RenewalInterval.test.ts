import type {Instant} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {deriveLeaseTimes, MinionState} from '@nutmegproxy/scheduling';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {choosePollDelayMs, choosePollWaitMs} from '../../PollPacing.ts';
import {createMinion} from './OwnerSamples.ts';

const SEED = 59;
const MINIONS = 10_000;

describe('The time between two renewals of a lease', () => {
  it('is shorter than the lease on any minion, so that running work does not expire', () => {
    fc.assert(
      fc.property(fc.integer({max: 60_000, min: 1_000}), (maxMinionLeaseMs) => {
        const times = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
        const minion = new MinionState(createMinion().description, times);
        minion.leaseClock.observe(0, 0 as Instant);
        const waitMs = choosePollWaitMs(minion, {isNearTarget: false, overdueInMs: Infinity});
        const intervalMs = waitMs + choosePollDelayMs(minion, MINIONS);
        assert.ok(intervalMs < times.minionLeaseMs, `${intervalMs} ms`);
      }),
      {seed: SEED},
    );
  });
});
