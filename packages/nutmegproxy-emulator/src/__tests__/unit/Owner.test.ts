import type {MinionId} from '@nutmegproxy/core';
import type {JobStatus} from '@nutmegproxy/jobs';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeProgress, jobKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecordedRun, TaskBehaviour} from '../../EmulatedMinion.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  describeMinion,
  fastClock,
  startOwner,
  stepShape,
  storedJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';

describe('Owner', () => {
  let behaviour: (task: string) => TaskBehaviour;
  let fleet: EmulatedFleet;
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string): EmulatedMinion {
    const minion = new EmulatedMinion(describeMinion(name), (task) => behaviour(task.job));
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
    const stored = await getKey(store, jobKey(storedJob(number, []).id, 'progress'));
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
    it('runs its steps in order, each task once, and is shown as completed', async () => {
      const minions = [addMinion('m1'), addMinion('m2')];
      await start('vm-1');
      await submitJob(
        store,
        storedJob(1, [stepShape({count: 5}), stepShape({after: [0], count: 3})]),
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

    it('has failed once a task has failed as often as its queue allows', async () => {
      addMinion('m1');
      addMinion('m2');
      addMinion('m3');
      behaviour = () => ({durationMs: 5, outcome: 'failed'});
      await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitForStatus(1, 'failed');
      assert.equal(allRuns().length, 2);
      assert.equal(new Set(allRuns().map(({number}) => number)).size, 2);
    });

    it('is stopped when it is cancelled', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      await start('vm-1');
      const job = storedJob(1, [stepShape({count: 2, longRunning: true})]);
      await submitJob(store, job);
      await waitFor('both tasks run', () => minion.live.length === 2);
      await put(store, jobKey(job.id, 'cancel'), Buffer.from('request-1'));
      await waitFor('nothing runs', () => minion.live.length === 0);
      await waitForStatus(1, 'cancelled');
    });

    it('never reserves more than a minion has', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 30, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape({count: 12})]));
      let most = 0;
      const timer = setInterval(() => {
        most = Math.max(most, minion.live.length);
      }, 1);
      await waitForStatus(1, 'completed');
      clearInterval(timer);
      assert.ok(most <= 4, `${most} tasks of one core ran on four cores`);
    });
  });

  describe('a takeover', () => {
    it('goes on with the runs of the former owner and starts none again', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 1_500, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape({count: 3})]));
      await waitFor('all tasks run', () => minion.live.length === 3);
      first.owner.stop('killed');
      await first.ownership.resign(first.tenure, 'killed');
      await start('vm-2');
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 3);
    });

    it('waits for a minion that does not answer before it starts its tasks elsewhere', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitFor('the task runs', () => minion.live.length === 1);
      first.owner.stop('killed');
      await first.ownership.resign(first.tenure, 'killed');
      fleet.faults(brand<MinionId>('m1')).isCutOff = true;
      const other = addMinion('m2');
      await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 400));
      assert.equal(other.records.length, 0);
      fleet.faults(brand<MinionId>('m1')).isCutOff = false;
      await new Promise((resolve) => setTimeout(resolve, 400));
      assert.equal(other.records.length, 0);
      assert.equal(minion.live.length, 1);
    });

    it('starts at once what a minion that was lost before can not have', async () => {
      const lost = addMinion('m1');
      const first = await start('vm-1');
      await waitFor('the minion has reported', () => lost.reports > 0);
      fleet.faults(brand<MinionId>('m1')).isCutOff = true;
      await new Promise((resolve) => setTimeout(resolve, 700));
      addMinion('m2');
      behaviour = () => ({durationMs: 20, outcome: 'done'});
      await submitJob(store, storedJob(1, [stepShape({count: 2}), stepShape({after: [0]})]));
      await waitForStatus(1, 'completed');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      first.owner.stop('killed');
      await submitJob(store, storedJob(2, [stepShape()]));
      await first.ownership.resign(first.tenure, 'killed');
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

    it('takes no silence for knowledge of what runs on a minion that never reported', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 60_000, outcome: 'done'});
      const first = await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitFor('the task runs', () => minion.live.length === 1);
      first.owner.stop('killed');
      await first.ownership.resign(first.tenure, 'killed');
      fleet.faults(brand<MinionId>('m1')).isCutOff = true;
      const second = await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 800));
      second.owner.stop('killed');
      await second.ownership.resign(second.tenure, 'killed');
      const other = addMinion('m2');
      await start('vm-3');
      await new Promise((resolve) => setTimeout(resolve, 800));
      assert.equal(other.records.length, 0);
    });

    it('fences the former owner at the minions', async () => {
      addMinion('m1');
      const first = await start('vm-1');
      await first.ownership.resign(first.tenure, 'lease lost');
      await start('vm-2');
      assert.equal(await first.ended, 'fenced');
    });
  });

  describe('a start without an answer', () => {
    it('is repeated under its number and runs once', async () => {
      const minion = addMinion('m1');
      fleet.faults(brand<MinionId>('m1')).startsLateMs = 100;
      behaviour = () => ({durationMs: 30, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitForStatus(1, 'completed');
      await new Promise((resolve) => setTimeout(resolve, 200));
      assert.equal(minion.records.length, 1);
    });
  });

  describe('a minion that falls silent', () => {
    it('loses its runs once its hold has lapsed, and they start elsewhere', async () => {
      // Ten times as fast as time, so that a hold lapses within a second.
      const clock = fastClock(10);
      fleet = new EmulatedFleet(clock);
      const silent = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      const {owner, tenure} = await startOwner(clock, store, fleet, 'vm-1');
      const renewal = setInterval(() => {
        tenure.prove(clock.monotonic(), clock.wall());
      }, 20);
      stops.push(() => {
        clearInterval(renewal);
        owner.stop('end of test');
      });
      await submitJob(store, storedJob(1, [stepShape({longRunning: true})]));
      await waitFor('the task runs', () => silent.live.length === 1);
      const other = addMinion('m2');
      const cutAt = clock.monotonic();
      fleet.faults(brand<MinionId>('m1')).isCutOff = true;
      await waitFor('the task runs elsewhere', () => other.live.length === 1, 5_000);
      assert.ok(clock.monotonic() - cutAt >= 7_000, 'started again before the hold had lapsed');
      silent.advance(clock.monotonic());
      assert.deepEqual(silent.live, []);
    });
  });

  describe('an owner without proof of its lease', () => {
    it('takes no silent minion for lapsed, since another owner may hold it', async () => {
      const clock = fastClock(10);
      fleet = new EmulatedFleet(clock);
      const silent = addMinion('m1');
      behaviour = () => ({durationMs: Infinity, outcome: 'done'});
      const {ended, owner, tenure} = await startOwner(clock, store, fleet, 'vm-1');
      const renewal = setInterval(() => {
        tenure.prove(clock.monotonic(), clock.wall());
      }, 20);
      stops.push(() => {
        clearInterval(renewal);
        owner.stop('end of test');
      });
      await submitJob(store, storedJob(1, [stepShape({longRunning: true})]));
      await waitFor('the task runs', () => silent.live.length === 1);
      const other = addMinion('m2');
      // The hold that a former owner may have granted has to lie behind.
      await new Promise((resolve) => setTimeout(resolve, 400));
      fleet.faults(brand<MinionId>('m1')).isCutOff = true;
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

  describe('a minion that begins a new life', () => {
    it('has lost its runs, which start again', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 300, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape({count: 2})]));
      await waitFor('both tasks run', () => minion.live.length === 2);
      await new Promise((resolve) => setTimeout(resolve, 50));
      minion.restart(2);
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 4);
    });

    it('keeps a start that reached the new life before the owner heard of it', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 400, outcome: 'done'});
      await start('vm-1');
      await waitFor('the minion has reported', () => minion.reports > 1);
      const faults = fleet.faults(minion.description.id);
      faults.holdsAreLost = true;
      minion.restart(2);
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitFor('the task runs', () => minion.live.length === 1);
      const other = addMinion('m2');
      await waitFor('the other minion has reported', () => other.reports > 1);
      fleet.add(minion);
      await new Promise((resolve) => setTimeout(resolve, 100));
      faults.holdsAreLost = false;
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length + other.records.length, 1);
    });

    it('is told twice, by its listing and by its entry, and loses its runs once', async () => {
      const minion = addMinion('m1');
      behaviour = () => ({durationMs: 400, outcome: 'done'});
      await start('vm-1');
      await submitJob(store, storedJob(1, [stepShape()]));
      await waitFor('the task runs', () => minion.live.length === 1);
      await new Promise((resolve) => setTimeout(resolve, 50));
      minion.restart(2);
      await waitFor('the task runs again', () => minion.records.length === 2);
      // A roomier minion would be chosen for a task that seemed to wait.
      const other = new EmulatedMinion(
        describeMinion('m2', {capacity: {cpuMilli: 8000, gpus: 0, memoryMb: 8000}}),
        (task) => behaviour(task.job),
      );
      fleet.add(other);
      await waitFor('the other minion has reported', () => other.reports > 1);
      // Its listings are held up, so that they can not set a mistake right at once.
      const faults = fleet.faults(minion.description.id);
      faults.isCutOff = true;
      fleet.add(minion);
      await new Promise((resolve) => setTimeout(resolve, 100));
      faults.isCutOff = false;
      await waitForStatus(1, 'completed');
      assert.equal(minion.records.length, 2);
      assert.equal(other.records.length, 0);
    });
  });
});
