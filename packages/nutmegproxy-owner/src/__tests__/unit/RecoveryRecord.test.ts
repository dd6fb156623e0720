import type {MinionId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {acquireOwnership, changeBetweenWrites, holdWrites} from './OwnerSamples.ts';

describe('RecoveryRecord', () => {
  let keepAlive: NodeJS.Timeout;
  let record: RecoveryRecord;
  let store: MemoryStore;

  beforeEach(async () => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    store = new MemoryStore();
    record = new RecoveryRecord({
      clock: new ManualClock(),
      events: SILENT_EVENTS,
      onFenced: () => undefined,
      ownership: await acquireOwnership(store),
      store,
    });
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    record.close();
    await store.close();
  });

  describe('that changes while it is written', () => {
    it('tells each minion when its use is stored, not once no others are used', async () => {
      const storedAfter = await changeBetweenWrites(holdWrites(store), 4, (index) =>
        record.recordUse(brand<MinionId>(`m${index}`)),
      );
      assert.deepEqual(storedAfter, [1, 2, 3, 4, undefined]);
    });

    it('tells when a use is stored while the awaited minions keep changing', async () => {
      const storedAfter = await changeBetweenWrites(holdWrites(store), 4, (index) =>
        index === 0 ? record.recordUse(brand<MinionId>('m1')) : record.update(),
      );
      assert.equal(storedAfter[0], 1);
    });
  });
});
