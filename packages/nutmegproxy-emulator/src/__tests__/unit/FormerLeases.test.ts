import type {MinionId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {WaitingVm} from './TakeoverHarness.ts';

import {cutOff} from './FleetSamples.ts';
import {waitFor} from './JobSamples.ts';
import {disconnect} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const {maxFormerLeaseMs: MAX_FORMER_LEASE_MS} = DEFAULT_LEASE_TIMES;

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds for which a kill excuses a task that doesn't run. */
const KILL_AFTERMATH_MS = 4_000;
/** Time in milliseconds for which nobody owns the fleet after a kill. */
const TAKEOVER_AFTER_KILL_MS = 2_300;
/** Longest duration in milliseconds of a store outage that the users' requirements list, and a takeover. */
const OUTAGE_MS = 6_800;
/** Time in milliseconds for which a killed owner keeps the ownership. */
const OWNERSHIP_KEPT_MS = 2_000;
/** Time in milliseconds for which a VM leaves the ownership to a larger one. */
const LATE_TAKEOVER_MS = 1_500;
const OTHER_MINION = 'm2';
const SETTLED_MS = 500;
const REACTION_MS = 5_000;
/** Time in milliseconds that passes in each step, and the real pause after it. */
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;
/** Time in milliseconds after which no lease of a former owner lasts. */
const LONGEST_WAIT_MS = 20_000;

describe('Leases of a former owner', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  describe('of a minion that left while no owner was up', () => {
    it('do not keep its lasting task from running again within the deadline', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.fleet.remove(minion.description.id);
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      const other = harness.addMinion(OTHER_MINION);
      const {ownership} = await harness.start('vm-2');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      const untilMs = KILL_AFTERMATH_MS + RESTART_DEADLINE_MS - TAKEOVER_AFTER_KILL_MS;
      await harness.passTime(ownership, untilMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('after a takeover by a VM that leaves the ownership to a larger one at first', () => {
    it('count from the end of the former ownership', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      const last = harness.startWaitingVm('vm-2');
      await sleep(SETTLED_MS);
      harness.fleet.remove(minion.description.id);
      await first.kill(OWNERSHIP_KEPT_MS);
      await sleep(SETTLED_MS);
      harness.clock.advance(LATE_TAKEOVER_MS);
      last.isAllowed = true;
      await waitFor('the VM owns the fleet', () => last.ownership !== undefined);
      const other = harness.addMinion(OTHER_MINION);
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      assert.ok(last.ownership);
      const passedMs = OWNERSHIP_KEPT_MS + LATE_TAKEOVER_MS;
      const untilMs = KILL_AFTERMATH_MS + RESTART_DEADLINE_MS - passedMs;
      await harness.passTime(last.ownership, untilMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('of an earlier version', () => {
    it('are waited for to their full duration, since nothing limits them', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      const {term} = first.started.ownership;
      const recording = Buffer.from(JSON.stringify({since: term, term}));
      await put(harness.store, `${STATE_PREFIX}recording`, recording);
      await first.kill();
      harness.fleet.remove(minion.description.id);
      const other = harness.addMinion(OTHER_MINION);
      const {ownership} = await harness.start('vm-2');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await harness.passTime(ownership, MAX_FORMER_LEASE_MS + SETTLED_MS, STEP_MS, STEP_PAUSE_MS);
      await sleep(SETTLED_MS);
      assert.deepEqual(other.liveTasks, []);
      await harness.passTime(ownership, LONGEST_WAIT_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('that acts on without the store', () => {
    let isStoreDown: boolean;
    let late: WaitingVm;

    function isDown(): boolean {
      return isStoreDown;
    }

    beforeEach(async () => {
      isStoreDown = false;
      // A minion that both owners reach would reject the orders of the former one.
      const fleet = cutOff(harness.fleet, brand<MinionId>(OTHER_MINION));
      const first = await harness.start('vm-1', disconnect(harness.store, isDown), fleet);
      await harness.runLastingTask(minion);
      late = harness.startWaitingVm('vm-3', cutOff(harness.fleet, minion.description.id));
      await sleep(SETTLED_MS);
      isStoreDown = true;
      await sleep(SETTLED_MS);
      await harness.store.revokeLease(first.ownership.lease);
    });

    it('have ended when the next owner starts a task of a minion that it can not reach', async () => {
      const fleet = cutOff(harness.fleet, minion.description.id);
      const other = harness.addMinion(OTHER_MINION);
      const second = await harness.start('vm-2', harness.store, fleet);
      for (let passedMs = 0; passedMs < LONGEST_WAIT_MS; passedMs += STEP_MS) {
        harness.clock.advance(STEP_MS);
        second.ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
        await sleep(STEP_PAUSE_MS);
        minion.advance(harness.clock.monotonic());
        assert.ok(minion.liveTasks.length + other.liveTasks.length <= 1);
      }
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('have ended when an owner that takes over late starts a task of a minion that it can not reach', async () => {
      const other = harness.addMinion(OTHER_MINION);
      for (let passedMs = 0; passedMs < LONGEST_WAIT_MS; passedMs += STEP_MS) {
        harness.clock.advance(STEP_MS);
        late.isAllowed = passedMs >= LATE_TAKEOVER_MS;
        late.ownership?.confirm(harness.clock.monotonic(), harness.clock.wall());
        await sleep(STEP_PAUSE_MS);
        minion.advance(harness.clock.monotonic());
        assert.ok(minion.liveTasks.length + other.liveTasks.length <= 1);
      }
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('last through an outage in which the ownership lapses, and the takeover after it', async () => {
      for (let passedMs = 0; passedMs < OUTAGE_MS; passedMs += STEP_MS) {
        harness.clock.advance(STEP_MS);
        await sleep(STEP_PAUSE_MS);
      }
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      minion.advance(harness.clock.monotonic());
      assert.equal(minion.liveTasks.length, 1);
    });
  });
});
