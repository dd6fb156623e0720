import type {EventSink, VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {FleetOwnership} from '@nutmegproxy/owner';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {encodeRecord, FIRST_CELL, formatJobKey} from '@nutmegproxy/jobs';
import {OwnerElection} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createOwner,
  createStepShape,
  createStoredJob,
  waitFor,
} from './JobSamples.ts';

const SECOND_CELL = 1 as CellIndex;
/** Time in real milliseconds in which an owner writes each of its records. */
const ALL_RECORDS_MS = 3_500;

describe('Owners of two cells', () => {
  let store: MemoryStore;
  const stops: (() => void)[] = [];

  beforeEach(() => {
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  function createElection(cell: CellIndex, vm: string): OwnerElection {
    return new OwnerElection({
      cell,
      clock: SYSTEM_CLOCK,
      count: {cells: 2, hasPlaces: false, revision: 0},
      events: SILENT_EVENTS,
      leaseTimes: DEFAULT_LEASE_TIMES,
      store,
      vm: brand<VmId>(vm),
    });
  }

  /** Starts an owner of a cell with one minion. */
  async function start(
    cell: CellIndex,
    events: EventSink = SILENT_EVENTS,
  ): Promise<{readonly minion: EmulatedMinion; readonly ownership: FleetOwnership}> {
    const fleet = new EmulatedFleet(SYSTEM_CLOCK);
    const description = createMinionDescription(`m${cell}`);
    const minion = new EmulatedMinion(description, () => ({durationMs: 20, outcome: 'done'}));
    fleet.add(minion);
    const election = createElection(cell, `vm-${cell}`);
    const ownership = (await election.acquire())._unsafeUnwrap();
    void election.renew(ownership);
    const owner = createOwner({clock: SYSTEM_CLOCK, events, ownership, store}, fleet);
    void owner.run();
    stops.push(() => {
      owner.stop('end of test');
    });
    return {minion, ownership};
  }

  async function submit(number: number, cell: CellIndex): Promise<void> {
    const job = createStoredJob(number, [createStepShape()]);
    (await put(store, formatJobKey(job.id, 'request', cell), encodeRecord(job)))._unsafeUnwrap();
  }

  async function listKeys(): Promise<string[]> {
    const read = await getPrefix(store, 'nutmegproxy/');
    return read._unsafeUnwrap().values.map(({key}) => key);
  }

  it('run the jobs of their own cell alone', async () => {
    const first = await start(FIRST_CELL);
    const second = await start(SECOND_CELL);
    await submit(1, FIRST_CELL);
    await submit(2, SECOND_CELL);
    await submit(3, SECOND_CELL);
    await waitFor(
      'the jobs run',
      () => first.minion.records.length + second.minion.records.length > 2,
    );
    assert.equal(first.minion.records.length, 1);
    assert.equal(second.minion.records.length, 2);
  });

  it('do not end the ownership of the other when they acquire and resign', async () => {
    const first = await start(FIRST_CELL);
    const election = createElection(SECOND_CELL, 'vm-1');
    const second = (await election.acquire())._unsafeUnwrap();
    assert.ok(second.token > first.ownership.token);
    await election.resign(second, 'end');
    await submit(1, FIRST_CELL);
    await waitFor('the job runs', () => first.minion.records.length === 1);
    const again = await createElection(FIRST_CELL, 'vm-2').acquire();
    assert.equal(again._unsafeUnwrapErr().kind, 'taken');
  });

  it('write no key of the other, so that no record of a cell is read by another', async () => {
    await start(SECOND_CELL);
    await submit(1, SECOND_CELL);
    await new Promise((resolve) => setTimeout(resolve, ALL_RECORDS_MS));
    const keys = await listKeys();
    assert.deepEqual(
      keys.filter((key) => !key.startsWith('nutmegproxy/cell/1/')),
      [],
    );
    assert.ok(keys.includes('nutmegproxy/cell/1/state/knowledge'));
    assert.ok(keys.includes('nutmegproxy/cell/1/state/roster'));
  });
});
