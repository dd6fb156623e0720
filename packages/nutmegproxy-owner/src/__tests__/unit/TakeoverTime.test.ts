import type {Instant} from '@nutmegproxy/core';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet, TAKEOVER_MS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {TAKEOVER_JITTER_MS} from '../../OwnerConstants.ts';
import {chooseTakeoverDelayMs} from '../../OwnerPreference.ts';
import {choosePollDelayMs, choosePollWaitMs} from '../../PollPacing.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const NOW = 0 as Instant;
const MINIONS = 10_000;

describe('The time of a takeover', () => {
  it('covers the longest poll, the longest delay before an acquisition and the calls after it', () => {
    const minion = createMinion();
    const fleet = new Fleet(SILENT_EVENTS);
    minion.leaseClock.observe(0, NOW);
    fleet.minions.set(minion.id, minion);
    fleet.startRun(createStep(1, {longRunning: true, tailTargetMs: 50}), 0, minion, NOW);
    const pollMs =
      choosePollWaitMs(minion, {isNearTarget: false, overdueInMs: Infinity}) +
      choosePollDelayMs(minion, MINIONS);
    const delayMs =
      Math.max(chooseTakeoverDelayMs(0.3, [1.3]), chooseTakeoverDelayMs(0, [])) +
      TAKEOVER_JITTER_MS;
    // The acquisition is a read, the grant of a lease and a write; then come a read and the first poll.
    const callsMs = 5 * 50;
    assert.ok(pollMs + delayMs + callsMs <= TAKEOVER_MS, `${pollMs} + ${delayMs} ms`);
  });
});
