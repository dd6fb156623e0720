import type {Clock, Instant, WallTime} from '@nutmegproxy/core';
import type {QueueId} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS, SILENT_EVENTS} from '@nutmegproxy/core';
import {DEFAULT_QUEUE_POLICY, Fleet} from '@nutmegproxy/scheduling';
import {errAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {AdvicePrefetcher} from '../../AdvicePrefetcher.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const STEPS = 3;
const CALLS = 6;

describe('AdvicePrefetcher', () => {
  // Guards against a step whose calls fail and keeps the others from being asked for.
  it('asks for each step in turn while all calls fail', async () => {
    const fleet = new Fleet(SILENT_EVENTS);
    const minion = createMinion();
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, 0 as Instant);
    fleet.minions.set(minion.id, minion);
    fleet.queues.set('proofs' as QueueId, {
      ...DEFAULT_QUEUE_POLICY,
      advice: {callMs: 1, perMinionMs: 1, validMs: 1_000},
      id: 'proofs' as QueueId,
      service: minion.description.service,
    });
    for (let job = 1; job <= STEPS; job += 1) {
      const step = createStep(job);
      fleet.jobs.set(step.job.id, step.job);
    }
    const asked: string[] = [];
    let nowMs = 0;
    const clock: Pick<Clock, 'monotonic' | 'wall'> = {
      monotonic: () => (nowMs += 1) as Instant,
      wall: () => nowMs as WallTime,
    };
    const prefetcher = new AdvicePrefetcher({
      advice: {
        ask: (step) => {
          asked.push(step);
          return errAsync({kind: 'unanswered', message: 'injected'});
        },
      },
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: clock,
      events: SILENT_EVENTS,
      fleet,
      onChange: () => undefined,
    });
    // Pauses of the prefetcher don't keep the process alive.
    const timer = setInterval(() => undefined, 1_000);
    await prefetcher.run(() => asked.length < CALLS);
    clearInterval(timer);
    assert.equal(new Set(asked.slice(0, STEPS)).size, STEPS, asked.join());
    assert.deepEqual(asked.slice(STEPS), asked.slice(0, STEPS));
  });
});
