import type {EventFields, EventKind} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix} from '@nutmegproxy/store';
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
import {ROSTER_KEY} from './StoreSamples.ts';
import {runForever} from './TakeoverHarness.ts';

type StoredRoster = readonly {readonly description: MinionDescription}[];

describe('A minion whose capacity changes while it runs', () => {
  let events: {readonly fields: EventFields; readonly kind: EventKind}[];
  let fleet: EmulatedFleet;
  let minion: EmulatedMinion;
  let started: Awaited<ReturnType<typeof startOwner>>;
  let store: MemoryStore;

  function resize(cpuMilli: number): void {
    const {description} = minion;
    minion.description = {...description, capacity: {...description.capacity, cpuMilli}};
    fleet.add(minion);
  }

  beforeEach(async () => {
    events = [];
    fleet = new EmulatedFleet(SYSTEM_CLOCK);
    store = new MemoryStore();
    minion = new EmulatedMinion(createMinionDescription('m1'), runForever);
    fleet.add(minion);
    started = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-1', {
      record: (kind, fields) => {
        events.push({fields, kind});
      },
    });
    await submitJob(store, createStoredJob(1, [createStepShape({count: 3, longRunning: true})]));
    await waitFor('the tasks run', () => minion.liveTasks.length === 3);
  });

  afterEach(async () => {
    started.owner.stop('end of test');
    await store.close();
  });

  it('is logged with its former and its new capacity', () => {
    resize(2_000);
    const changes = events.filter(
      ({fields, kind}) => kind === OWNER_EVENTS.MINION_CHANGED && fields.change === 'capacity',
    );
    assert.deepEqual(
      changes.map(({fields}) => fields),
      [
        {
          change: 'capacity',
          cpuMilli: 2_000,
          formerCpuMilli: 4_000,
          formerGpus: 0,
          formerMemoryMb: 4_000,
          gpus: 0,
          memoryMb: 4_000,
          minion: 'm1',
          reservedCpuMilli: 3_000,
          runs: 3,
        },
      ],
    );
  });

  it('gets starts again once it has grown, and none before', async () => {
    resize(2_000);
    await submitJob(store, createStoredJob(2, [createStepShape()]));
    await waitFor('the job is known', () =>
      events.some(
        ({fields, kind}) =>
          kind === OWNER_EVENTS.JOB_DISCOVERED && fields.job === createStoredJob(2, []).id,
      ),
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.equal(minion.records.length, 3);
    resize(4_000);
    await waitFor('the task runs', () => minion.liveTasks.length === 4);
  });

  describe('has its new capacity in the roster, for an owner that finds its entry missing,', () => {
    async function waitForStoredCapacity(cpuMilli: number): Promise<void> {
      let stored: StoredRoster = [];
      await waitFor('the roster is stored', () => {
        void getPrefix(store, ROSTER_KEY).map(({values}) => {
          stored = JSON.parse(values[0]?.value.toString() ?? '[]') as StoredRoster;
        });
        return stored[0]?.description.capacity.cpuMilli === cpuMilli;
      });
    }

    it('when its entry changes', async () => {
      resize(2_000);
      await waitForStoredCapacity(2_000);
    });

    it('when it has changed while there was no owner', async () => {
      started.owner.stop('end of the first owner');
      await started.election.resign(started.ownership, 'end of the first owner');
      resize(2_000);
      started = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-2');
      await waitForStoredCapacity(2_000);
    });
  });
});
