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

const LASTING: TaskBehaviour = {durationMs: Infinity, outcome: 'done'};

describe('A good task on minions that fail', () => {
  let behaviours: Map<string, TaskBehaviour>;
  let events: {readonly fields: EventFields; readonly kind: EventKind}[];
  let fleet: EmulatedFleet;
  const stops: (() => void)[] = [];
  let isStoreDown: boolean;
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

  function countEvents(kind: EventKind): number {
    return events.filter((each) => each.kind === kind).length;
  }

  async function readProgress({id}: StoredJob): Promise<JobProgress | undefined> {
    const stored = await getKey(store, formatJobKey(id, 'progress'));
    const value = stored.isOk() ? stored.value?.value : undefined;
    return value === undefined ? undefined : decodeProgress(value).unwrapOr(undefined);
  }

  /** Starts an owner whose ownership counts as confirmed; returns a function that kills it. */
  async function start(vm: string): Promise<() => Promise<void>> {
    let isIsolated = false;
    const view = createFailingStore(store, () => isIsolated || isStoreDown);
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
    isStoreDown = false;
    store = new MemoryStore();
  });

  afterEach(async () => {
    isStoreDown = false;
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  it('is not blamed for the crash of a minion to which its start was not sent', async () => {
    const minions = addMinions(3);
    await start('vm-1');
    const good = createStoredJob(1, [createStepShape()]);
    behaviours.set(good.id, LASTING);
    await submitJob(store, good);
    await waitFor('the task runs', () => minions.some(({liveTasks}) => liveTasks.length > 0));
    const first = minions.find(({liveTasks}) => liveTasks.length > 0);
    // The store fails while the start of a trial waits for its record.
    isStoreDown = true;
    first?.crash(150, SYSTEM_CLOCK.monotonic());
    await waitFor('a trial is planned', () => countEvents(SCHEDULING_EVENTS.TRIAL_STARTED) === 1);
    const trial = events.find(({kind}) => kind === SCHEDULING_EVENTS.TRIAL_STARTED);
    const second = minions.find(({description}) => description.id === trial?.fields.minion);
    assert.ok(second);
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.equal(listRuns(good).length, 1);
    second.crash(150, SYSTEM_CLOCK.monotonic());
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP), 0);
    isStoreDown = false;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    assert.equal((await readProgress(good))?.status, 'running');
  });

  it('is not blamed for the crash of a minion on which it had ended before', async () => {
    const minions = addMinions(4);
    await start('vm-1');
    const good = createStoredJob(1, [createStepShape()]);
    behaviours.set(good.id, {durationMs: 60, outcome: 'done'});
    await submitJob(store, good);
    for (let round = 1; round <= 2; round += 1) {
      await waitFor('the task runs', () => minions.some(({liveTasks}) => liveTasks.length > 0));
      const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(minion);
      // The minion is cut off; its run ends there; later the minion crashes.
      fleet.faults(minion.description.id).isUnreachable = true;
      await new Promise((resolve) => setTimeout(resolve, 300));
      minion.advance(SYSTEM_CLOCK.monotonic());
      assert.equal(minion.liveTasks.length, 0);
      minion.crash(50, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 100));
      fleet.faults(minion.description.id).isUnreachable = false;
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP), 0);
  });

  it('is not blamed for the crash of a minion that was down when its start was sent', async () => {
    const minions = addMinions(4);
    await start('vm-1');
    const good = createStoredJob(1, [createStepShape({requiredLabel: 'a'})]);
    behaviours.set(good.id, LASTING);
    for (const {description} of minions) {
      // The first start to each minion is lost, as the minion is down by then.
      fleet.faults(description.id).startDelayMs = 1_000_000;
    }
    await submitJob(store, good);
    const seen = new Set<unknown>();
    for (let round = 1; round <= 2; round += 1) {
      const isNew = (): boolean =>
        events.some(
          ({fields, kind}) => kind === SCHEDULING_EVENTS.RUN_PLACED && !seen.has(fields.minion),
        );
      await waitFor('the task is placed', isNew);
      const placed = events.find(
        ({fields, kind}) => kind === SCHEDULING_EVENTS.RUN_PLACED && !seen.has(fields.minion),
      );
      const minion = minions.find(({description}) => description.id === placed?.fields.minion);
      assert.ok(minion);
      seen.add(minion.description.id);
      minion.crash(400, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 600));
      fleet.faults(minion.description.id).startDelayMs = 0;
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP), 0);
  });
});
