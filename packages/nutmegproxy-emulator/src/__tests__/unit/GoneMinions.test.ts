import type {FleetOwnership} from '@nutmegproxy/owner';

import {OWNER_EVENTS} from '@nutmegproxy/owner';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMachineList} from '../../EmulatedMachineList.ts';
import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {DRAINING_RUN, failAfterWrite, ROSTER_KEY, waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds for which nobody owns the fleet after a kill. */
const TAKEOVER_AFTER_KILL_MS = 2_500;
/** Longest time in milliseconds from an owner's start to the end of a former owner's leases. */
const LONGEST_LEASE_MS = 10_500;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Time in real milliseconds in which an owner asks for several lists. */
const LISTS_MS = 1_500;

describe('Minions that are gone', () => {
  let harness: TakeoverHarness;
  let machines: EmulatedMachineList;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    machines = harness.addMachineList();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets the minion drain and waits until the store says so. */
  async function drain(): Promise<void> {
    minion.description = {...minion.description, isDraining: true};
    harness.fleet.add(minion);
    await waitForRoster(harness.store, (roster) => roster.includes('"draining"'));
  }

  /** Starts an owner that stores nothing after the record that names a run of a draining minion. */
  function startUntilDraining(): Promise<KillableOwner> {
    return harness.startKillable(
      'vm-1',
      failAfterWrite(ROSTER_KEY, DRAINING_RUN, () => true),
    );
  }

  /** Adds another minion for the next owner and starts it. */
  async function takeOver(vm: string): Promise<{other: EmulatedMinion; ownership: FleetOwnership}> {
    harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
    const other = harness.addMinion(`minion for ${vm}`);
    const {ownership} = await harness.start(vm);
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    return {other, ownership};
  }

  describe('after they drained and left while no VM owned the fleet', () => {
    it('let a lasting task run again within its deadline when owners are killed in turn', async () => {
      const first = await startUntilDraining();
      await harness.runLastingTask(minion);
      await drain();
      await first.kill();
      harness.fleet.remove(minion.description.id);
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      const second = await harness.startKillable('vm-2');
      await sleep(SETTLED_MS);
      await second.kill();
      const {other, ownership} = await takeOver('vm-3');
      const remainingMs = RESTART_DEADLINE_MS - 2 * TAKEOVER_AFTER_KILL_MS;
      await harness.passTime(ownership, remainingMs, 250, 100);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('after they crashed together with the owner and their machines started others', () => {
    it('let a lasting task run again although their entries are still listed', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      machines.replaced.add(minion.description.id);
      const {other, ownership} = await takeOver('vm-2');
      await harness.passTime(ownership, RESTART_DEADLINE_MS - TAKEOVER_AFTER_KILL_MS, 250, 100);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('let a lasting task wait for the lease while the list is down', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      machines.replaced.add(minion.description.id);
      machines.isDown = true;
      const {other, ownership} = await takeOver('vm-2');
      await sleep(LISTS_MS);
      assert.ok(machines.calls > 1);
      assert.equal(other.liveTasks.length, 0);
      await harness.passTime(ownership, LONGEST_LEASE_MS, 250, 50);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('for a single list only', () => {
    it('count as cut off: their tasks do not start a second time', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      machines.replaced.add(minion.description.id);
      const {other} = await takeOver('vm-2');
      await waitFor('the first list', () => machines.calls > 0);
      machines.replaced.clear();
      await sleep(LISTS_MS);
      assert.ok(machines.calls > 1);
      assert.deepEqual([minion.liveTasks.length, other.liveTasks.length], [1, 0]);
    });
  });

  describe('for now, as their machines are listed without a minion', () => {
    it('keep their runs: they may start again under their ids', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      machines.hidden.add(minion.description.id);
      const {other} = await takeOver('vm-2');
      await sleep(LISTS_MS);
      assert.ok(machines.calls > 1);
      assert.equal(other.liveTasks.length, 0);
    });
  });

  describe('by the directory alone', () => {
    it('keep their runs while their machines show them', async () => {
      const first = await startUntilDraining();
      await harness.runLastingTask(minion);
      await drain();
      await first.kill();
      const {id} = minion.description;
      harness.fleet.faults(id).isUnreachable = true;
      const {other} = await takeOver('vm-2');
      await sleep(LISTS_MS);
      assert.ok(machines.calls > 1);
      assert.ok(!harness.events.includes(OWNER_EVENTS.MINION_GONE));
      assert.equal(other.liveTasks.length, 0);
    });
  });

  describe('after a crash that their owner saw', () => {
    it('are left to the judgement of the crash', async () => {
      await harness.start('vm-1');
      await harness.runLastingTask(minion);
      const other = harness.addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      minion.crash(Infinity, harness.clock.monotonic());
      machines.replaced.add(minion.description.id);
      await sleep(LISTS_MS);
      assert.equal(machines.calls, 0);
      assert.equal(other.liveTasks.length, 0);
    });
  });

  describe('with a start without a response', () => {
    it('do not hold its task: their id does not return', async () => {
      await harness.start('vm-1');
      await waitFor('the minion has reported', () => minion.answeredPolls > 3);
      harness.fleet.faults(minion.description.id).startDelayMs = 60_000;
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await sleep(SETTLED_MS);
      await drain();
      harness.fleet.remove(minion.description.id);
      const other = harness.addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });
});
