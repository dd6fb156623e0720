import type {EventFields, EventKind} from '@nutmegproxy/core';
import type {JobProgress, StoredJob} from '@nutmegproxy/jobs';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeProgress, formatJobKey} from '@nutmegproxy/jobs';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecordedRun, TaskBehaviour} from '../../EmulatedMinion.ts';

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
import {createFailingStore} from './StoreSamples.ts';

/** A task is started at most this often: three crashes, and fewer than three starts more. */
const MAX_STARTS = 5;
const CRASH: TaskBehaviour = {crashDownMs: 150, durationMs: 10, outcome: 'done'};
const LASTING: TaskBehaviour = {durationMs: Infinity, outcome: 'done'};

describe('A task that crashes its minion', () => {
  let behaviours: Map<string, TaskBehaviour>;
  let events: {readonly fields: EventFields; readonly kind: EventKind}[];
  let fleet: EmulatedFleet;
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string, address = `${name}:1`): EmulatedMinion {
    const minion = new EmulatedMinion(
      createMinionDescription(name, {address}),
      ({job}) => behaviours.get(job) ?? {durationMs: 20, outcome: 'done'},
    );
    fleet.add(minion);
    return minion;
  }

  function addMinions(count: number): EmulatedMinion[] {
    return Array.from({length: count}, (_, number) => addMinion(`m${number}`));
  }

  function listRuns({id}: StoredJob): RecordedRun[] {
    return [...fleet.minions.values()].flatMap(({records}) =>
      records.filter(({task}) => task.startsWith(id)),
    );
  }

  function countStarts(job: StoredJob): number {
    const counts = new Map<string, number>();
    for (const {task} of listRuns(job)) {
      counts.set(task, (counts.get(task) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  function countEvents(kind: EventKind): number {
    return events.filter((each) => each.kind === kind).length;
  }

  async function readProgress({id}: StoredJob): Promise<JobProgress | undefined> {
    const stored = await getKey(store, formatJobKey(id, 'progress'));
    const value = stored.isOk() ? stored.value?.value : undefined;
    return value === undefined ? undefined : decodeProgress(value).unwrapOr(undefined);
  }

  async function waitForProgress(
    description: string,
    job: StoredJob,
    isExpected: (progress: JobProgress) => boolean,
  ): Promise<void> {
    let isMet = false;
    const timer = setInterval(() => {
      void readProgress(job).then((progress) => {
        isMet ||= progress !== undefined && isExpected(progress);
      });
    }, 10);
    try {
      await waitFor(description, () => isMet);
    } finally {
      clearInterval(timer);
    }
  }

  async function waitForStatus(job: StoredJob, expected: string): Promise<void> {
    await waitForProgress(`a job is ${expected}`, job, ({status}) => status === expected);
  }

  /** Starts an owner whose ownership counts as confirmed; returns a function that kills it. */
  async function start(vm: string): Promise<() => Promise<void>> {
    let isIsolated = false;
    const view = createFailingStore(store, () => isIsolated);
    const {owner, ownership} = await startOwner(SYSTEM_CLOCK, view, fleet, vm, {
      record: (kind, fields) => events.push({fields, kind}),
    });
    const renewal = setInterval(() => {
      ownership.confirm(SYSTEM_CLOCK.monotonic(), SYSTEM_CLOCK.wall());
      void store.keepLeaseAlive(ownership.lease);
    }, 200);
    const stop = (): void => {
      clearInterval(renewal);
      owner.stop('killed');
    };
    stops.push(stop);
    return async () => {
      isIsolated = true;
      stop();
      await store.revokeLease(ownership.lease);
    };
  }

  beforeEach(() => {
    behaviours = new Map();
    events = [];
    fleet = new EmulatedFleet(SYSTEM_CLOCK);
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  it('is given up while good jobs beside it are completed', async () => {
    addMinions(5);
    await start('vm-1');
    const good = createStoredJob(1, [createStepShape({count: 6})]);
    const deadly = createStoredJob(2, [createStepShape({count: 2})]);
    behaviours.set(good.id, {durationMs: 300, outcome: 'done'});
    behaviours.set(deadly.id, CRASH);
    await submitJob(store, good);
    await submitJob(store, deadly);
    await waitForStatus(deadly, 'failed');
    await waitForStatus(good, 'completed');
    assert.ok(countStarts(deadly) <= MAX_STARTS);
    assert.equal(countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP), 1);
  });

  it('is given up though the minions come back under other ids', async () => {
    const minions = addMinions(6);
    await start('vm-1');
    const deadly = createStoredJob(1, [createStepShape()]);
    behaviours.set(deadly.id, LASTING);
    await submitJob(store, deadly);
    for (let crash = 0; crash < 2; crash += 1) {
      await waitFor('the task runs', () => minions.some(({liveTasks}) => liveTasks.length > 0));
      const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(minion);
      const {address, id} = minion.description;
      fleet.faults(id).isUnreachable = true;
      minion.crash(0, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 150));
      fleet.faults(id).isUnreachable = false;
      fleet.replace(id, addMinion(`${id}b`, address));
    }
    await waitForStatus(deadly, 'failed');
    assert.equal(listRuns(deadly).length, 2);
  });

  it('is given up when all tasks of a wide job crash minions at the same time', async () => {
    addMinions(8);
    await start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({count: 24})]);
    behaviours.set(deadly.id, CRASH);
    await submitJob(store, deadly);
    await waitForStatus(deadly, 'failed');
    assert.ok(countStarts(deadly) <= MAX_STARTS);
  });

  it('is given up when it is a member of a gang', async () => {
    addMinions(6);
    await start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({count: 6, gang: true})]);
    behaviours.set(deadly.id, CRASH);
    await submitJob(store, deadly);
    await waitForStatus(deadly, 'failed');
    assert.ok(countStarts(deadly) <= MAX_STARTS);
  });

  it('is given up when it lasts', async () => {
    addMinions(4);
    await start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({longRunning: true})]);
    behaviours.set(deadly.id, CRASH);
    await submitJob(store, deadly);
    await waitForStatus(deadly, 'failed');
    assert.ok(countStarts(deadly) <= MAX_STARTS);
  });

  it('is given up with all later occurrences of its job', async () => {
    addMinions(4);
    await start('vm-1');
    const once = createStoredJob(1, [createStepShape()]);
    const deadly = {
      ...once,
      recurrence: {count: 1_000, firstAt: once.acceptedAt, intervalMs: 2_000},
    };
    behaviours.set(deadly.id, CRASH);
    await submitJob(store, deadly);
    await waitForStatus(deadly, 'failed');
    const starts = listRuns(deadly).length;
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    assert.equal(listRuns(deadly).length, starts);
  });

  it('is counted by the next owner when the owner is killed right after a trial began', async () => {
    const minions = addMinions(4);
    const kill = await start('vm-1');
    const deadly = createStoredJob(1, [createStepShape()]);
    behaviours.set(deadly.id, {...CRASH, crashDownMs: 400});
    await submitJob(store, deadly);
    await waitFor('the second start', () => listRuns(deadly).length === 2);
    await kill();
    const stored = await readProgress(deadly);
    assert.equal(stored?.steps['0.0']?.trials?.[0]?.run, 2);
    await start('vm-2');
    await waitForStatus(deadly, 'failed');
    assert.equal(minions.length, 4);
    assert.ok(countStarts(deadly) <= MAX_STARTS);
  });

  describe('machines that fail together', () => {
    it('do not count against the tasks that had just started on one of them', async () => {
      const minions = addMinions(4);
      await start('vm-1');
      const lasting = createStoredJob(1, [
        createStepShape({count: 4, longRunning: true, maxPerMinion: 1}),
      ]);
      const good = createStoredJob(2, [createStepShape({count: 4, maxPerMinion: 1})]);
      behaviours.set(lasting.id, LASTING);
      behaviours.set(good.id, {durationMs: 1_500, outcome: 'done'});
      await submitJob(store, lasting);
      await waitFor('the lasting tasks run', () =>
        minions.every(({liveTasks}) => liveTasks.length > 0),
      );
      await new Promise((resolve) => setTimeout(resolve, 1_000));
      await submitJob(store, good);
      for (let crash = 0; crash < 2; crash += 1) {
        await waitFor('the good tasks run', () =>
          listRuns(good).some(({endedAtMs}) => endedAtMs === undefined),
        );
        for (const minion of minions) {
          minion.crash(100, SYSTEM_CLOCK.monotonic());
        }
        await new Promise((resolve) => setTimeout(resolve, 1_200));
      }
      await waitForStatus(good, 'completed');
      assert.equal(countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP), 0);
    });
  });
});
