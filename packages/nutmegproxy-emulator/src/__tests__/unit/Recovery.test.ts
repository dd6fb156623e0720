import type {EventKind} from '@nutmegproxy/core';
import type {PlatformStore} from '@nutmegproxy/store';

import {ManualClock} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {createFailingStore, waitForRoster} from './StoreSamples.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const LEASE_RENEWAL_MS = 400;

describe('Recovery after a takeover', () => {
  let clock: ManualClock;
  let events: EventKind[];
  let fleet: EmulatedFleet;
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string): EmulatedMinion {
    const minion = new EmulatedMinion(createMinionDescription(name), () => ({
      durationMs: Infinity,
      outcome: 'done',
    }));
    fleet.add(minion);
    return minion;
  }

  async function start(
    vm: string,
    ownerStore: PlatformStore = store,
  ): ReturnType<typeof startOwner> {
    const started = await startOwner(clock, ownerStore, fleet, vm, {
      record: (kind) => events.push(kind),
    });
    const renewal = setInterval(() => {
      void store.keepLeaseAlive(started.ownership.lease);
    }, LEASE_RENEWAL_MS);
    stops.push(() => {
      clearInterval(renewal);
      started.owner.stop('end of test');
    });
    return started;
  }

  async function stopAsPlanned({
    election,
    owner,
    ownership,
  }: Awaited<ReturnType<typeof start>>): Promise<void> {
    owner.stop('planned stop');
    await election.resign(ownership, 'planned stop');
  }

  beforeEach(() => {
    clock = new ManualClock(Date.now());
    events = [];
    fleet = new EmulatedFleet(clock);
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  describe('a minion that leaves as the ownership ends', () => {
    it('does not delay the tasks that it can not run', async () => {
      const leaving = addMinion('m1');
      const first = await start('vm-1');
      await waitFor('the minion has reported', () => leaving.answeredPolls > 0);
      await stopAsPlanned(first);
      fleet.remove(leaving.description.id);
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const other = addMinion('m2');
      await start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('delays the long-running tasks that it ran for less than their deadline', async () => {
      const leaving = addMinion('m1');
      const first = await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => leaving.liveTasks.length === 1);
      await stopAsPlanned(first);
      fleet.remove(leaving.description.id);
      const other = addMinion('m2');
      const {ownership} = await start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await waitFor('the closing record is received', () =>
        events.includes(OWNER_EVENTS.CLOSING_RECORD_RECEIVED),
      );
      clock.advance(RESTART_DEADLINE_MS);
      ownership.confirm(clock.monotonic(), clock.wall());
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay tasks when the next ownership ends before its recovery is complete', async () => {
      const leaving = addMinion('m1');
      const first = await start('vm-1');
      await waitFor('the minion has reported', () => leaving.answeredPolls > 0);
      await stopAsPlanned(first);
      fleet.remove(leaving.description.id);
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const other = addMinion('m2');
      const second = await start('vm-2');
      await stopAsPlanned(second);
      await start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a draining minion that leaves when its owner is killed', () => {
    let draining: EmulatedMinion;
    let first: Awaited<ReturnType<typeof start>>;
    let kill: () => void;

    beforeEach(async () => {
      draining = addMinion('m1');
      let isIsolated = false;
      first = await start(
        'vm-1',
        createFailingStore(store, () => isIsolated),
      );
      kill = () => {
        isIsolated = true;
        first.owner.stop('killed');
      };
      await waitFor('the minion has reported', () => draining.answeredPolls > 0);
    });

    async function drain(): Promise<void> {
      draining.description = {...draining.description, isDraining: true};
      fleet.add(draining);
      await waitForRoster(store, (roster) => roster.includes('"draining"'));
    }

    async function takeOver(): Promise<EmulatedMinion> {
      kill();
      fleet.remove(draining.description.id);
      await store.revokeLease(first.ownership.lease);
      const other = addMinion('m2');
      await start('vm-2');
      return other;
    }

    it('does not delay the tasks that it can not run', async () => {
      await drain();
      const job = createStoredJob(1, [createStepShape({longRunning: true})]);
      await submitJob(store, job);
      const other = await takeOver();
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('delays the tasks that it may still run until its lease has expired', async () => {
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => draining.liveTasks.length === 1);
      await drain();
      const other = await takeOver();
      await submitJob(store, createStoredJob(2, [createStepShape()]));
      await waitFor('the other task runs', () => other.liveTasks.length === 1, REACTION_MS);
      await new Promise((resolve) => setTimeout(resolve, 500));
      assert.deepEqual(
        other.liveTasks.filter((name) => name.includes('1.0.0.0')),
        [],
      );
    });

    it('gets work again only once the record of its runs is removed', async () => {
      await drain();
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await new Promise((resolve) => setTimeout(resolve, 100));
      store.faults.change({down: true});
      draining.description = {...draining.description, isDraining: false};
      fleet.add(draining);
      await new Promise((resolve) => setTimeout(resolve, 100));
      assert.deepEqual(draining.liveTasks, []);
      store.faults.change({down: false});
      await waitFor('the task runs', () => draining.liveTasks.length === 1, REACTION_MS);
      await waitForRoster(store, (roster) => !roster.includes('"draining"'));
    });
  });

  describe('a minion that restarts and leaves before it reports', () => {
    it('delays the tasks that it may have for a bounded time', async () => {
      const restarting = addMinion('m1');
      const {ownership} = await start('vm-1');
      await waitFor('the minion has reported', () => restarting.answeredPolls > 0);
      const faults = fleet.faults(restarting.description.id);
      faults.startDelayMs = 60_000;
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task is sent', () => events.includes(SCHEDULING_EVENTS.RUN_PLACED));
      faults.isUnreachable = true;
      restarting.restart(2, clock.monotonic());
      fleet.add(restarting);
      await waitFor('the restart is seen', () => events.includes(OWNER_EVENTS.MINION_RESTARTED));
      fleet.remove(restarting.description.id);
      const other = addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 5_000) {
        clock.advance(5_000);
        ownership.confirm(clock.monotonic(), clock.wall());
      }
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion that rejects all calls', () => {
    it('does not delay the tasks that it can not run', async () => {
      const unhealthy = addMinion('m1');
      const first = await start('vm-1');
      await waitFor('the minion has reported', () => unhealthy.answeredPolls > 0);
      fleet.faults(unhealthy.description.id).isUnhealthy = true;
      await stopAsPlanned(first);
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      const other = addMinion('m2');
      await start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });
});
