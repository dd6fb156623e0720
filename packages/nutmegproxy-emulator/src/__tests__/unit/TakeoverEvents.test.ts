import type {EventFields, EventKind} from '@nutmegproxy/core';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
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
  SERVICE,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';

/** Processor cores of a minion; each run takes one. */
const CORES_PER_MINION = 20;
const MINIONS = 3;

describe('the events of a takeover', () => {
  let fleet: EmulatedFleet;
  let recorded: {fields: EventFields; kind: EventKind}[];
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string): EmulatedMinion {
    const capacity = {cpuMilli: CORES_PER_MINION * 1_000, gpus: 0, memoryMb: 8_000};
    const description = createMinionDescription(name, {capacity});
    const minion = new EmulatedMinion(description, () => ({durationMs: 60_000, outcome: 'done'}));
    fleet.add(minion);
    return minion;
  }

  function find(kind: EventKind): EventFields[] {
    return recorded.filter((event) => event.kind === kind).map(({fields}) => fields);
  }

  function describeMinion(name: string): EventFields {
    return {address: `${name}:1`, dataCentre: 'dc', minion: name, service: SERVICE};
  }

  /** Lets an owner start as many runs on each minion, and end. */
  async function startRuns(minions: readonly EmulatedMinion[], runs: number): Promise<void> {
    const {election, owner, ownership} = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-1');
    const shape = createStepShape({count: minions.length * runs, maxPerMinion: runs});
    await submitJob(store, createStoredJob(1, [shape]));
    await waitFor('all tasks run', () => minions.every(({liveTasks}) => liveTasks.length === runs));
    owner.stop('killed');
    await election.resign(ownership, 'killed');
  }

  /** Starts the next owner and waits until it has two listings of each listed minion but these. */
  async function takeOver(silent: readonly EmulatedMinion[] = []): Promise<void> {
    const events = {
      record: (kind: EventKind, fields: EventFields) => {
        recorded.push({fields, kind});
      },
    };
    const {owner} = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-2', events);
    stops.push(() => {
      owner.stop('end of test');
    });
    // One more poll may be the former owner's.
    const wanted = [...fleet.minions.values()]
      .filter((minion) => !silent.includes(minion))
      .map((minion) => ({answeredPolls: minion.answeredPolls + 3, minion}));
    await waitFor('two listings of each minion', () =>
      wanted.every(({answeredPolls, minion}) => minion.answeredPolls >= answeredPolls),
    );
  }

  beforeEach(() => {
    fleet = new EmulatedFleet(SYSTEM_CLOCK);
    recorded = [];
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  for (const runs of [1, CORES_PER_MINION]) {
    it(`name ${runs} adopted runs of each minion in one event`, async () => {
      const minions = Array.from({length: MINIONS}, (_, index) => addMinion(`m${index + 1}`));
      await startRuns(minions, runs);
      await takeOver();
      const adoptions = find(SCHEDULING_EVENTS.RUNS_ADOPTED);
      assert.equal(adoptions.length, MINIONS);
      for (const {description, records} of minions) {
        const adoption = adoptions.find(({minion}) => minion === description.id);
        const names = records.map(({number, task}) => `${task}/${number}`);
        assert.deepEqual(String(adoption?.named).split(' ').sort(), names.sort());
      }
    });
  }

  it('count the listed minions, and name each when it responds or fails to', async () => {
    const minions = ['m1', 'm2', 'm3'].map(addMinion);
    const [, silent] = minions;
    assert.ok(silent);
    fleet.faults(silent.description.id).isUnreachable = true;
    await takeOver([silent]);
    assert.deepEqual(find(OWNER_EVENTS.MINIONS_LISTED), [{minions: 3, unlisted: 0}]);
    assert.deepEqual(find(OWNER_EVENTS.MINION_CHANGED), []);
    assert.deepEqual(find(OWNER_EVENTS.MINION_REACHED), ['m1', 'm3'].map(describeMinion));
    await waitFor(
      'the minion fails to respond',
      () => find(OWNER_EVENTS.MINION_UNREACHABLE).length > 0,
    );
    const [unreachable] = find(OWNER_EVENTS.MINION_UNREACHABLE);
    assert.deepEqual({...unreachable, ...describeMinion('m2')}, unreachable);
  });

  it('name the minions that the former owner used and that are not listed any more', async () => {
    const minions = ['m1', 'm2'].map(addMinion);
    await startRuns(minions, 1);
    for (const {description} of minions.slice(1)) {
      fleet.minions.delete(description.id);
    }
    await takeOver();
    assert.deepEqual(find(OWNER_EVENTS.MINIONS_LISTED), [{minions: 1, unlisted: 1}]);
    assert.deepEqual(find(OWNER_EVENTS.MINION_CHANGED), [
      {change: 'unlisted', ...describeMinion('m2')},
    ]);
  });

  it('name a minion that is listed later', async () => {
    addMinion('m1');
    await takeOver();
    addMinion('m2');
    assert.deepEqual(find(OWNER_EVENTS.MINION_CHANGED), [
      {change: 'listed', ...describeMinion('m2')},
    ]);
  });

  it('name a minion that is listed while the watch of the list is broken', async () => {
    addMinion('m1');
    await takeOver();
    fleet.breakWatches(() => addMinion('m2'));
    await waitFor('the list is read again', () => find(OWNER_EVENTS.MINIONS_LISTED).length === 2);
    assert.deepEqual(find(OWNER_EVENTS.MINIONS_LISTED)[1], {minions: 2, unlisted: 0});
    assert.deepEqual(find(OWNER_EVENTS.MINION_CHANGED), [
      {change: 'listed', ...describeMinion('m2')},
    ]);
  });
});
