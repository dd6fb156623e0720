import type {Clock, Instant, WallTime} from '@nutmegproxy/core';
import type {QueueId} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {DEFAULT_QUEUE_POLICY, Fleet} from '@nutmegproxy/scheduling';
import {errAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, describe, it, mock} from 'node:test';

import {AdvicePrefetcher} from '../../AdvicePrefetcher.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const STEPS = 3;
const CALLS = 6;

/** Lets a mocked time pass, with the work that it gives rise to. */
async function pass(ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += 10) {
    mock.timers.tick(10);
    for (let turn = 0; turn < 10; turn += 1) {
      await Promise.resolve();
    }
  }
}

describe('AdvicePrefetcher', () => {
  afterEach(() => {
    mock.timers.reset();
  });

  it('looks through no jobs while no queue needs advice, and asks soon after one does', async () => {
    mock.timers.enable({apis: ['setTimeout']});
    const fleet = new Fleet(SILENT_EVENTS);
    const minion = createMinion();
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, 0 as Instant);
    fleet.minions.set(minion.id, minion);
    const step = createStep(1);
    fleet.jobs.set(step.job.id, step.job);
    const queue = {
      ...DEFAULT_QUEUE_POLICY,
      advice: undefined,
      id: 'proofs' as QueueId,
      service: minion.description.service,
    };
    fleet.queues.set(queue.id, queue);
    const walks = mock.method(fleet.jobs, 'open').mock;
    let asked = 0;
    let checks = 0;
    const prefetcher = new AdvicePrefetcher({
      advice: {
        ask: () => {
          asked += 1;
          return errAsync({kind: 'unanswered', message: 'injected'});
        },
      },
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: {monotonic: () => 1 as Instant, wall: () => 1 as WallTime},
      events: SILENT_EVENTS,
      fleet,
      onChange: () => undefined,
    });
    let isActing = true;
    const ended = prefetcher.run(() => {
      checks += 1;
      return isActing;
    });
    await pass(1_000);
    assert.equal(walks.callCount(), 0);
    assert.ok(checks <= 6, `${checks} checks in a second`);
    const advice = {callMs: 1, perMinionMs: 1, validMs: 1_000};
    fleet.queues.set(queue.id, {...queue, advice});
    await pass(260);
    assert.ok(asked > 0);
    isActing = false;
    await pass(260);
    await ended;
  });

  // Guards against jobs that wait for good for tickets once the route of their queue is removed.
  it('asks for a job whose queue is not configured any more', async () => {
    const fleet = new Fleet(SILENT_EVENTS);
    const minion = createMinion();
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, 0 as Instant);
    fleet.minions.set(minion.id, minion);
    const {id, request, revision} = createStep(1).job;
    const queuePolicy = {advice: {callMs: 1, perMinionMs: 1, validMs: 1_000}, maxAttempts: 2};
    fleet.jobs.set(id, new JobState({...request, queuePolicy}, revision));
    const others = 'others' as QueueId;
    const {service} = minion.description;
    fleet.queues.set(others, {...DEFAULT_QUEUE_POLICY, advice: undefined, id: others, service});
    const asked: string[] = [];
    const prefetcher = new AdvicePrefetcher({
      advice: {
        ask: (step) => {
          asked.push(step);
          return errAsync({kind: 'unanswered', message: 'injected'});
        },
      },
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: {monotonic: () => 1 as Instant, wall: () => 1 as WallTime},
      events: SILENT_EVENTS,
      fleet,
      onChange: () => undefined,
    });
    mock.timers.enable({apis: ['setTimeout']});
    let isActing = true;
    const ended = prefetcher.run(() => isActing);
    await pass(300);
    isActing = false;
    await pass(300);
    await ended;
    assert.equal(asked[0], `${id}.0.0`);
  });

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
