/** Starts of which the minion has listed one copy and carries out another one late. */

import type {FleetOwnership} from '@nutmegproxy/owner';

import {OWNER_EVENTS} from '@nutmegproxy/owner';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner, WaitingVm} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Longest time in milliseconds for which a lease lasts on a clock that is 2% slow, and some more. */
const LONGEST_LEASE_MS = 10_460;
/** Time in milliseconds after which no lease of a former owner lasts. */
const LONGEST_WAIT_MS = 20_000;
/** Time in real milliseconds after which the first copy of a start is carried out. */
const LATE_MS = 6_000;
const SETTLED_MS = 500;
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

describe('A start whose first copy is late and whose second copy was listed', () => {
  let first: KillableOwner;
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;
  let next: WaitingVm;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1', undefined, {maxMinionLeaseMs: LONGEST_LEASE_MS});
    first = await harness.startKillable('vm-1');
    await waitFor('the minion reports', () => minion.answeredPolls > 1);
    next = harness.startWaitingVm('vm-2');
    const faults = harness.fleet.faults(minion.description.id);
    faults.startDelayMs = LATE_MS;
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('a start got no response', () =>
      harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
    );
    faults.startDelayMs = 0;
    await waitFor('the second copy is carried out', () => minion.liveTasks.length === 1);
    const {answeredPolls} = minion;
    await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 1);
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets another start get no response and no effect. */
  async function loseAnotherStart(): Promise<void> {
    const earlier = harness.events.length;
    harness.fleet.faults(minion.description.id).startDelayMs = LONGEST_WAIT_MS;
    await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
    await waitFor('another start got no response', () =>
      harness.events.slice(earlier).includes(OWNER_EVENTS.MINION_UNREACHABLE),
    );
  }

  /** The first copy reaches the next incarnation, on whose clock its lease is the longest one. */
  async function restartUnreached(): Promise<void> {
    await harness.cutOff(minion);
    await next.observe();
    minion.restart(2, harness.clock.monotonic());
    const start = minion.start.bind(minion);
    minion.start = (order, sentAtMs) =>
      start({...order, untilMs: sentAtMs + LONGEST_LEASE_MS}, sentAtMs);
    await waitFor('the first copy is carried out', () => minion.liveTasks.length > 0, 10_000);
  }

  async function takeOverAndPass(): Promise<void> {
    await first.kill(OWNERSHIP_TTL_MS);
    next.isAllowed = true;
    await waitFor('the VM owns the fleet', () => next.ownership !== undefined);
    const other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    assert.ok(next.ownership);
    await pass(next.ownership, other);
  }

  async function pass(ownership: FleetOwnership, other: EmulatedMinion): Promise<void> {
    for (let passedMs = 0; passedMs < LONGEST_WAIT_MS; passedMs += STEP_MS) {
      await harness.passTime(ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      const live = [minion, other].flatMap((each) => {
        each.advance(harness.clock.monotonic());
        return each.liveTasks;
      });
      assert.equal(new Set(live).size, live.length, `two live runs after ${String(passedMs)} ms`);
    }
  }

  it('never leads to two live runs under its own owner', async () => {
    await restartUnreached();
    const other = harness.addMinion('m2');
    await pass(first.started.ownership, other);
  });

  it('never leads to two live runs after a takeover', async () => {
    await restartUnreached();
    await takeOverAndPass();
  });

  it('never leads to two live runs after a takeover when another start got no response', async () => {
    await loseAnotherStart();
    await restartUnreached();
    await takeOverAndPass();
  });
});
