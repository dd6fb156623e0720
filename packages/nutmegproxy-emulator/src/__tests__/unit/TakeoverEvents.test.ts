import type {EventFields, EventKind} from '@nutmegproxy/core';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
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

/** Processor cores of a minion; each run takes one. */
const CORES_PER_MINION = 20;
const MINIONS = 3;

describe('the events of a takeover', () => {
  let recorded: {fields: EventFields; kind: EventKind}[];
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function find(kind: EventKind): EventFields[] {
    return recorded.filter((event) => event.kind === kind).map(({fields}) => fields);
  }

  /** Lets a second owner take over minions that each have `runs` runs. */
  async function takeOver(runs: number): Promise<EmulatedMinion[]> {
    const fleet = new EmulatedFleet(SYSTEM_CLOCK);
    const minions = Array.from({length: MINIONS}, (_, index) => {
      const capacity = {cpuMilli: CORES_PER_MINION * 1_000, gpus: 0, memoryMb: 8_000};
      const description = createMinionDescription(`m${index + 1}`, {capacity});
      return new EmulatedMinion(description, () => ({durationMs: 60_000, outcome: 'done'}));
    });
    for (const minion of minions) {
      fleet.add(minion);
    }
    const first = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-1');
    const shape = createStepShape({count: MINIONS * runs, maxPerMinion: runs});
    await submitJob(store, createStoredJob(1, [shape]));
    await waitFor('all tasks run', () => minions.every(({liveTasks}) => liveTasks.length === runs));
    first.owner.stop('killed');
    await first.election.resign(first.ownership, 'killed');
    const events = {
      record: (kind: EventKind, fields: EventFields) => {
        recorded.push({fields, kind});
      },
    };
    const {owner} = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-2', events);
    stops.push(() => {
      owner.stop('end of test');
    });
    const before = minions.map(({answeredPolls}) => answeredPolls);
    await waitFor('the next owner has two listings of each minion', () =>
      minions.every(({answeredPolls}, index) => answeredPolls >= (before[index] ?? 0) + 3),
    );
    return minions;
  }

  beforeEach(() => {
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
      const minions = await takeOver(runs);
      const adoptions = find(SCHEDULING_EVENTS.RUNS_ADOPTED);
      assert.equal(adoptions.length, MINIONS);
      for (const {description, records} of minions) {
        const adoption = adoptions.find(({minion}) => minion === description.id);
        const names = records.map(({number, task}) => `${task}/${number}`);
        assert.deepEqual(String(adoption?.named).split(' ').sort(), names.sort());
      }
    });
  }
});
