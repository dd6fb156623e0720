import type {MinionId} from '@nutmegproxy/core';
import type {JobStatus} from '@nutmegproxy/jobs';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeProgress, formatJobKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecordedRun, TaskBehaviour} from '../../EmulatedMinion.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createFastClock,
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';

describe('Owner', () => {
  let behaviour: (task: string) => TaskBehaviour;
  let fleet: EmulatedFleet;
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string): EmulatedMinion {
    const minion = new EmulatedMinion(createMinionDescription(name), (task) => behaviour(task.job));
    fleet.add(minion);
    return minion;
  }

  function allRuns(): RecordedRun[] {
    return [...fleet.minions.values()].flatMap(({records}) => records);
  }

  async function start(vm: string): ReturnType<typeof startOwner> {
    const started = await startOwner(SYSTEM_CLOCK, store, fleet, vm);
    stops.push(() => {
      started.owner.stop('end of test');
    });
    return started;
  }

  async function readStatus(number: number): Promise<JobStatus | undefined> {
    const stored = await getKey(store, formatJobKey(createStoredJob(number, []).id, 'progress'));
    const value = stored.isOk() ? stored.value?.value : undefined;
    return value === undefined ? undefined : decodeProgress(value).unwrapOr(undefined)?.status;
  }

  async function waitForStatus(number: number, status: JobStatus): Promise<void> {
    let seen: JobStatus | undefined;
    const timer = setInterval(() => {
      void readStatus(number).then((each) => {
        seen = each;
      });
    }, 10);
    try {
      await waitFor(`job ${number} is ${status}`, () => seen === status);
    } finally {
      clearInterval(timer);
    }
  }

  beforeEach(() => {
    behaviour = () => ({durationMs: 20, outcome: 'done'});
    fleet = new EmulatedFleet(SYSTEM_CLOCK);
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  describe('a job', () => {
    it('runs its steps in order and each task once, and is reported as completed', async () => {
      const minions = [addMinion('m1'), addMinion('m2')];
      await start('vm-1');
      await submitJob(
        store,
        createStoredJob(1, [createStepShape({count: 5}), createStepShape({after: [0], count: 3})]),
      );
      await waitForStatus(1, 'completed');
      const runs = minions.flatMap(({records}) => records);
      assert.equal(runs.length, 8);
      assert.equal(new Set(runs.map(({task}) => task)).size, 8);
      const firstEnds = runs.filter(({task}) => task.includes('.0.0.'));
      const secondStarts = runs.filter(({task}) => task.includes('.0.1.'));
      const lastEnd = Math.max(...firstEnds.map(({endedAtMs}) => endedAtMs ?? Infinity));
      assert.ok(secondStarts.every(({startedAtMs}) => startedAtMs >= lastEnd));
    });

    it('fails once a task has failed as often as its queue allows', async () => {
      addMinion('m1');
      addMinion('m2');
      addMinion('m3');
      behaviour = () => ({durationMs: 5, outcome: 'failed'});
      await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitForStatus(1, 'failed');
      assert.equal(allRuns().length, 2);
      assert.equal(new Set(allRuns().map(({number}) => number)).size, 2);
    });

    it('is stopped when it is cancelled', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      await start('vm-1');
      const job = createStoredJob(1, [createStepShape({count: 2, longRunning: true})]);
      await submitJob(store, job);
      await waitFor('both tasks run', () => minion.liveTasks.length === 2);
      await put(store, formatJobKey(job.id, 'cancel'), Buffer.from('request-1'));
      await waitFor('nothing runs', () => minion.liveTasks.length === 0);
      await waitForStatus(1, 'cancelled');
    });

    it('never reserves more than a minion has', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 30, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape({count: 12})]));
      let most = 0;
      const timer = setInterval(() => {
        most = Math.max(most, minion.liveTasks.length);
      }, 1);
      await waitForStatus(1, 'completed');
      clearInterval(timer);
      assert.ok(most <= 4, `${most} tasks of one core ran on four cores`);
    });
  });

  describe('a takeover', () => {
    it('adopts the runs of the former owner and starts none again', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 1_500, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape({count: 3})]));
      await waitFor('all tasks run', () => minion.liveTasks.length === 3);
      first.owner.stop('killed');
      await first.election.resign(first.ownership, 'killed');
      await start('vm-2');
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 3);
    });

    it('does not start the tasks of an unreachable minion elsewhere while its lease may be valid', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      first.owner.stop('killed');
      await first.election.resign(first.ownership, 'killed');
      fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
      const other = addMinion('m2');
      await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 400));
      assert.equal(other.records.length, 0);
      fleet.faults(brand<MinionId>('m1')).isUnreachable = false;
      await new Promise((resolve) => setTimeout(resolve, 400));
      assert.equal(other.records.length, 0);
      assert.equal(minion.liveTasks.length, 1);
    });

    it('starts a job at once that a minion lost before the takeover can not run', async () => {
      const lost = addMinion('m1');
      const first = await start('vm-1');
      await waitFor('the minion has reported', () => lost.answeredPolls > 0);
      fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
      await new Promise((resolve) => setTimeout(resolve, 700));
      addMinion('m2');
      behaviour = () => ({durationMs: 20, outcome: 'done'});
      await submitJob(
        store,
        createStoredJob(1, [createStepShape({count: 2}), createStepShape({after: [0]})]),
      );
      await waitForStatus(1, 'completed');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      first.owner.stop('killed');
      await submitJob(store, createStoredJob(2, [createStepShape()]));
      await first.election.resign(first.ownership, 'killed');
      const other = addMinion('m3');
      await start('vm-2');
      await waitFor(
        'the job runs',
        () => allRuns().some(({task}) => task.endsWith('2.0.0.0')),
        2_000,
      );
      assert.equal(lost.records.length, 0);
      assert.ok(other.records.length <= 1);
    });

    describe('after an outage of the store in which a minion was lost', () => {
      let first: Awaited<ReturnType<typeof start>>;

      async function loseMinionInOutage(mayBeLost = (): boolean => true): Promise<void> {
        store.faults.change({down: true});
        await waitFor('the minion may be lost', mayBeLost);
        await new Promise((resolve) => setTimeout(resolve, 100));
        fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
        await new Promise((resolve) => setTimeout(resolve, 700));
        first.owner.stop('lease not renewed');
        store.faults.change({down: false});
      }

      beforeEach(async () => {
        const lost = addMinion('m1');
        first = await start('vm-1');
        await waitFor('the minion has reported', () => lost.answeredPolls > 0);
      });

      it('starts a job at once that the lost minion can not run', async () => {
        await loseMinionInOutage();
        await submitJob(store, createStoredJob(1, [createStepShape()]));
        await first.election.resign(first.ownership, 'lease not renewed');
        addMinion('m2');
        await start('vm-2');
        await waitFor('the job runs', () => allRuns().length === 1, 10_000);
      });

      it('does not start a task again whose result the former owner could not store', async () => {
        behaviour = () => ({durationMs: 300, outcome: 'done'});
        await submitJob(store, createStoredJob(1, [createStepShape()]));
        await waitFor('the task runs', () => allRuns().length === 1);
        await loseMinionInOutage(() => allRuns().every(({endedAtMs}) => endedAtMs !== undefined));
        await first.election.resign(first.ownership, 'lease not renewed');
        addMinion('m2');
        await start('vm-2');
        await new Promise((resolve) => setTimeout(resolve, 1_500));
        assert.equal(allRuns().length, 1);
      });
    });

    it('does not start a task again when an earlier run of it is reported by a lost minion', async () => {
      const earlier = addMinion('m1');
      const first = await start('vm-1');
      behaviour = () => ({durationMs: 1_000, outcome: 'failed'});
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the first run', () => earlier.liveTasks.length === 1);
      const later = addMinion('m2');
      await waitFor('the second minion has reported', () => later.answeredPolls > 0);
      store.faults.change({down: true});
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      await waitFor('the second run', () => later.liveTasks.length === 1);
      for (const {description} of [earlier, later]) {
        fleet.faults(description.id).isUnreachable = true;
      }
      await new Promise((resolve) => setTimeout(resolve, 1_500));
      first.owner.stop('lease not renewed');
      store.faults.change({down: false});
      await first.election.resign(first.ownership, 'lease not renewed');
      const other = addMinion('m3');
      await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 700));
      fleet.faults(earlier.description.id).isUnreachable = false;
      await new Promise((resolve) => setTimeout(resolve, 700));
      assert.equal(other.records.length, 0);
      assert.equal(earlier.records.length, 1);
    });

    it('does not record an empty run list for a silent minion that never reported', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      first.owner.stop('killed');
      await first.election.resign(first.ownership, 'killed');
      fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
      const second = await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 800));
      second.owner.stop('killed');
      await second.election.resign(second.ownership, 'killed');
      const other = addMinion('m2');
      await start('vm-3');
      await new Promise((resolve) => setTimeout(resolve, 800));
      assert.equal(other.records.length, 0);
    });

    it('fences the former owner', async () => {
      addMinion('m1');
      const first = await start('vm-1');
      await first.election.resign(first.ownership, 'lease lost');
      await start('vm-2');
      assert.equal(await first.ended, 'fenced');
    });
  });

  describe('a start without an answer', () => {
    it('is retried with the same run number and runs once', async () => {
      const minion = addMinion('m1');
      fleet.faults(brand<MinionId>('m1')).startDelayMs = 100;
      behaviour = () => ({durationMs: 30, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitForStatus(1, 'completed');
      await new Promise((resolve) => setTimeout(resolve, 200));
      assert.equal(minion.records.length, 1);
    });
  });

  describe('a minion that falls silent', () => {
    it('loses its runs once its lease has expired, and they start elsewhere', async () => {
      // The clock runs 10 times as fast as time, so that a lease expires within a second.
      const clock = createFastClock(10);
      fleet = new EmulatedFleet(clock);
      const silent = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      const {owner, ownership} = await startOwner(clock, store, fleet, 'vm-1');
      const renewal = setInterval(() => {
        ownership.confirm(clock.monotonic(), clock.wall());
      }, 20);
      stops.push(() => {
        clearInterval(renewal);
        owner.stop('end of test');
      });
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => silent.liveTasks.length === 1);
      const other = addMinion('m2');
      const cutAt = clock.monotonic();
      fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
      await waitFor('the task runs elsewhere', () => other.liveTasks.length === 1, 5_000);
      assert.ok(clock.monotonic() - cutAt >= 7_000, 'started again before the lease had expired');
      silent.advance(clock.monotonic());
      assert.deepEqual(silent.liveTasks, []);
    });
  });

  describe('an owner whose lease is not renewed', () => {
    it('does not expire the lease of a silent minion, since another owner may renew it', async () => {
      const clock = createFastClock(10);
      fleet = new EmulatedFleet(clock);
      const silent = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      const {ended, owner, ownership} = await startOwner(clock, store, fleet, 'vm-1');
      const renewal = setInterval(() => {
        ownership.confirm(clock.monotonic(), clock.wall());
      }, 20);
      stops.push(() => {
        clearInterval(renewal);
        owner.stop('end of test');
      });
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => silent.liveTasks.length === 1);
      const other = addMinion('m2');
      // Waits until a lease that a former owner may have granted has expired.
      await new Promise((resolve) => setTimeout(resolve, 400));
      fleet.faults(brand<MinionId>('m1')).isUnreachable = true;
      await new Promise((resolve) => setTimeout(resolve, 60));
      clearInterval(renewal);
      // The owner may wait on unref'd timers alone; a ref'd one keeps the event loop alive till it ends.
      const keepAlive = setInterval(() => undefined, 1_000);
      try {
        await ended;
      } finally {
        clearInterval(keepAlive);
      }
      assert.equal(other.records.length, 0);
    });
  });

  describe('a minion that restarts', () => {
    it('loses its runs, which start again', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 300, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape({count: 2})]));
      await waitFor('both tasks run', () => minion.liveTasks.length === 2);
      await new Promise((resolve) => setTimeout(resolve, 50));
      minion.restart(2, SYSTEM_CLOCK.monotonic());
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 4);
    });

    it('keeps a run that started in the new incarnation before the owner discovered it', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 400, outcome: 'done'});
      await start('vm-1');
      await waitFor('the minion has reported', () => minion.answeredPolls > 1);
      const faults = fleet.faults(minion.description.id);
      faults.arePollAnswersLost = true;
      minion.restart(2, SYSTEM_CLOCK.monotonic());
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      const other = addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 1);
      fleet.add(minion);
      await new Promise((resolve) => setTimeout(resolve, 100));
      faults.arePollAnswersLost = false;
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length + other.records.length, 1);
    });

    it('loses its runs once though its listing and its entry both report the restart', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 400, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      await new Promise((resolve) => setTimeout(resolve, 50));
      minion.restart(2, SYSTEM_CLOCK.monotonic());
      await waitFor('the task runs again', () => minion.records.length === 2);
      // A task that was wrongly taken for lost would start on this larger minion.
      const other = new EmulatedMinion(
        createMinionDescription('m2', {capacity: {cpuMilli: 8000, gpus: 0, memoryMb: 8000}}),
        (task) => behaviour(task.job),
      );
      fleet.add(other);
      await waitFor('the other minion has reported', () => other.answeredPolls > 1);
      // Without responses to polls, a mistake is not corrected at once.
      const faults = fleet.faults(minion.description.id);
      faults.isUnreachable = true;
      fleet.add(minion);
      await new Promise((resolve) => setTimeout(resolve, 100));
      faults.isUnreachable = false;
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 2);
      assert.equal(other.records.length, 0);
    });
  });
});
