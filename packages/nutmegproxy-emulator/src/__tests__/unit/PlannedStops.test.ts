import type {VmId} from '@nutmegproxy/core';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {OWNER_KEY, OwnerElection} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {waitFor} from './JobSamples.ts';
import {isWriteOf, waitForRecord, waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Time in milliseconds for which a planned stop leaves the fleet without an owner. */
const TAKEOVER_MS = 500;
/** Time in milliseconds for which a killed owner keeps the ownership. */
const OWNERSHIP_KEPT_MS = 2_000;
/** Time in milliseconds for which a VM leaves the ownership to a larger one. */
const LATE_TAKEOVER_MS = 1_500;
/** Time in milliseconds for which a kill excuses a task that doesn't run. */
const KILL_AFTERMATH_MS = 4_000;
/** Time in milliseconds that passes in each step, and the real pause after it. */
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;
const CLOSING_KEY = `${STATE_PREFIX}closing`;

describe('Planned stops in a series', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Acquires the ownership and gives it up, as a VM does that is stopped meanwhile. */
  async function acquireAndResign(vm: string): Promise<void> {
    const {clock, store} = harness;
    const election = new OwnerElection({
      clock,
      events: SILENT_EVENTS,
      leaseTimes: DEFAULT_LEASE_TIMES,
      store,
      vm: brand<VmId>(vm),
    });
    const acquired = await election.acquire();
    await election.resign(acquired._unsafeUnwrap(), 'planned stop');
  }

  describe('VMs that are stopped one after the other', () => {
    it('do not lengthen the lease of a minion that left, which each counts from its own read', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      const last = harness.startWaitingVm('vm-5');
      await harness.stopAsPlanned(first);
      harness.fleet.remove(minion.description.id);
      await sleep(SETTLED_MS);
      for (const vm of ['vm-2', 'vm-3', 'vm-4']) {
        await acquireAndResign(vm);
        await sleep(SETTLED_MS);
        harness.clock.advance(TAKEOVER_MS);
      }
      last.isAllowed = true;
      await waitFor('the VM owns the fleet', () => last.ownership !== undefined);
      const other = harness.addMinion('m2');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      const remainingMs = RESTART_DEADLINE_MS - 3 * TAKEOVER_MS;
      assert.ok(last.ownership);
      await harness.passTime(last.ownership, remainingMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('an owner that is killed right after a planned stop', () => {
    it('does not delay a task of a minion that left when the account was stored after its acquisition', async () => {
      let isDelayed = false;
      const isFailing = (args: readonly unknown[]): boolean =>
        isDelayed && isWriteOf(CLOSING_KEY, args);
      const {started} = await harness.startKillable('vm-1', isFailing);
      await harness.runLastingTask(minion);
      const last = harness.startWaitingVm('vm-3');
      isDelayed = true;
      await harness.stopAsPlanned(started);
      harness.fleet.remove(minion.description.id);
      const second = await harness.startKillable('vm-2');
      await sleep(SETTLED_MS);
      isDelayed = false;
      await waitForRecord(harness.store, CLOSING_KEY, (text) => text !== '');
      await sleep(SETTLED_MS);
      await last.observe();
      harness.clock.advance(TAKEOVER_MS);
      await second.kill(OWNERSHIP_KEPT_MS);
      last.isAllowed = true;
      await waitFor('the VM owns the fleet', () => last.ownership !== undefined);
      const other = harness.addMinion('m2');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      const remainingMs = RESTART_DEADLINE_MS - TAKEOVER_MS - OWNERSHIP_KEPT_MS;
      assert.ok(last.ownership);
      await harness.passTime(last.ownership, remainingMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a VM that is stopped while it acquires the ownership of an owner that was killed', () => {
    it('does not let a lease that nothing is known of count anew', async () => {
      const {clock, store} = harness;
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      harness.fleet.remove(minion.description.id);
      await first.kill(OWNERSHIP_KEPT_MS);
      const vm = brand<VmId>('vm-2');
      const election = new OwnerElection({
        clock,
        events: SILENT_EVENTS,
        leaseTimes: DEFAULT_LEASE_TIMES,
        store,
        vm,
      });
      const read = await store.commit({compare: [], then: [{key: OWNER_KEY, kind: 'get'}]});
      election.recordRelease(read._unsafeUnwrap().revision, clock.monotonic());
      clock.advance(LATE_TAKEOVER_MS);
      await election.resign((await election.acquire())._unsafeUnwrap(), 'planned stop');
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      const passedMs = OWNERSHIP_KEPT_MS + LATE_TAKEOVER_MS;
      const remainingMs = KILL_AFTERMATH_MS + RESTART_DEADLINE_MS - passedMs;
      await harness.passTime(ownership, remainingMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('an owner that is stopped before it has received the closing record', () => {
    it('does not add the difference of two wall clocks to the lease of a silent minion', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      harness.fleet.remove(minion.description.id);
      await sleep(SETTLED_MS);
      await harness.stopAsPlanned(first);
      await sleep(SETTLED_MS);
      await harness.stopAsPlanned(await harness.start('vm-2'));
      await sleep(SETTLED_MS);
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      await harness.passTime(ownership, RESTART_DEADLINE_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion that has just started and leaves right after a takeover', () => {
    it('does not delay its task for as long as a minion may hold a lease', async () => {
      harness.fleet.remove(minion.description.id);
      minion = harness.addMinion('m2', harness.clock.wall());
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      await harness.stopAsPlanned(first);
      await sleep(SETTLED_MS);
      const {answeredPolls} = minion;
      const {ownership} = await harness.start('vm-2');
      await waitFor('the minion has reported', () => minion.answeredPolls > answeredPolls + 1);
      harness.fleet.remove(minion.description.id);
      const other = harness.addMinion('m3');
      await sleep(SETTLED_MS);
      await harness.passTime(ownership, RESTART_DEADLINE_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion that the roster records as silent', () => {
    it('does not keep its task waiting by the wall clock when the closing record is stored late', async () => {
      let isDelayed = false;
      const isFailing = (args: readonly unknown[]): boolean =>
        isDelayed && isWriteOf(CLOSING_KEY, args);
      const {started} = await harness.startKillable('vm-1', isFailing);
      await harness.runLastingTask(minion);
      const other = harness.addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      harness.fleet.remove(minion.description.id);
      await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
      isDelayed = true;
      await harness.stopAsPlanned(started);
      const {answeredPolls} = other;
      const {ownership} = await harness.start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > answeredPolls + 1);
      await sleep(SETTLED_MS);
      isDelayed = false;
      await waitForRecord(harness.store, CLOSING_KEY, (text) => text !== '');
      await sleep(SETTLED_MS);
      await harness.passTime(ownership, RESTART_DEADLINE_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a VM that is stopped while it acquires the ownership', () => {
    it('does not delay a task of a minion that left until the longest lease has passed', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      await harness.stopAsPlanned(first);
      harness.fleet.remove(minion.description.id);
      await sleep(SETTLED_MS);
      await acquireAndResign('vm-2');
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      await harness.passTime(ownership, RESTART_DEADLINE_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });
});
