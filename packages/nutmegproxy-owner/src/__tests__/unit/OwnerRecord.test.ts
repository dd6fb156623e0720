import type {DataCentreId, MinionId, WallTime} from '@nutmegproxy/core';
import type {ServiceId} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';

import {OWNER_KEY} from '../../OwnerElection.ts';
import {OwnerRecord} from '../../OwnerRecord.ts';
import {Roster} from '../../Roster.ts';
import {acquireOwnership, delayNextWrite} from './OwnerSamples.ts';

const KEY = 'record';
const MINION: MinionDescription = {
  address: '127.0.0.1:1',
  bornAt: undefined,
  capacity: {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000},
  dataCentre: brand<DataCentreId>('dc'),
  id: brand<MinionId>('m1'),
  isDraining: false,
  labels: [],
  leavesInMs: undefined,
  machine: undefined,
  rack: undefined,
  service: 'service' as ServiceId,
};

describe("the owner's records", () => {
  // The timers of records don't keep the process alive, so this one does.
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });

  let store: MemoryStore;
  let ownership: FleetOwnership;

  beforeEach(async () => {
    store = new MemoryStore();
    ownership = await acquireOwnership(store);
  });

  describe('OwnerRecord', () => {
    let record: OwnerRecord;

    beforeEach(() => {
      record = new OwnerRecord({events: SILENT_EVENTS, key: KEY, ownership, store});
    });

    it('writes successive values', async () => {
      assert.equal(await record.write(Buffer.from('1')), 'written');
      assert.equal(await record.write(Buffer.from('2')), 'written');
      const stored = (await getKey(store, KEY))._unsafeUnwrap();
      assert.equal(stored?.value.toString(), '2');
    });

    it('does not let a delayed write replace a newer value', async () => {
      const late = delayNextWrite(store);
      assert.equal(await record.write(Buffer.from('old')), 'unknown');
      assert.equal(await record.write(Buffer.from('new')), 'written');
      await late[0]?.arrive();
      const stored = (await getKey(store, KEY))._unsafeUnwrap();
      assert.equal(stored?.value.toString(), 'new');
    });

    it('writes again after a delayed write was carried out', async () => {
      const late = delayNextWrite(store);
      assert.equal(await record.write(Buffer.from('old')), 'unknown');
      await late[0]?.arrive();
      assert.equal(await record.write(Buffer.from('new')), 'failed');
      assert.equal(await record.write(Buffer.from('new')), 'written');
    });

    it('reports that another VM owns the fleet and writes nothing', async () => {
      await put(store, OWNER_KEY, Buffer.from('another'));
      assert.equal(await record.write(Buffer.from('1')), 'fenced');
      assert.equal((await getKey(store, KEY))._unsafeUnwrap(), undefined);
    });

    it('reports that nothing was written while the store is unavailable', async () => {
      store.faults.change({down: true});
      assert.equal(await record.write(Buffer.from('1')), 'failed');
    });
  });

  describe('Roster', () => {
    it('does not let a delayed write restore a silent record that was removed', async () => {
      const onFenced = (): void => undefined;
      const roster = new Roster({
        clock: SYSTEM_CLOCK,
        events: SILENT_EVENTS,
        onFenced,
        ownership,
        store,
      });
      await roster.add([MINION]);
      const late = delayNextWrite(store);
      roster.markSilent(MINION, {heldUntil: 1 as WallTime, runs: []}, undefined);
      while (late.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      await roster.clearRecord(MINION);
      await late[0]?.arrive();
      const next = new Roster({
        clock: SYSTEM_CLOCK,
        events: SILENT_EVENTS,
        onFenced,
        ownership,
        store,
      });
      const [entry] = (await next.read())._unsafeUnwrap();
      assert.equal(entry?.silent, undefined);
    });

    describe('the first start of a minion', () => {
      const onFenced = (): void => undefined;
      const restarted = {...MINION, bornAt: 2};
      let roster: Roster;

      beforeEach(async () => {
        roster = new Roster({
          clock: SYSTEM_CLOCK,
          events: SILENT_EVENTS,
          onFenced,
          ownership,
          store,
        });
        await roster.add([{...MINION, bornAt: 1}], true);
      });

      it('is kept when its records are replaced after a restart', async () => {
        roster.markDraining(restarted, {runs: [], term: 0});
        await roster.clearRecord(restarted);
        const next = new Roster({
          clock: SYSTEM_CLOCK,
          events: SILENT_EVENTS,
          onFenced,
          ownership,
          store,
        });
        const [entry] = (await next.read())._unsafeUnwrap();
        assert.equal(entry?.firstBornAt, 1);
      });

      it('is not known of a minion that was removed and is added again', async () => {
        roster.remove(MINION.id);
        await roster.add([restarted], true);
        assert.equal(roster.find(MINION.id)?.firstBornAt, undefined);
      });
    });
  });
});
