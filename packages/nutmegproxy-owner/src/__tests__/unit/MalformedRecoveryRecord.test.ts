import type {MinionId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {acquireOwnership} from './OwnerSamples.ts';

describe('A recovery record whose awaited minions are malformed', () => {
  for (const awaited of [[null], [7], [{}], ['m1'], [{id: 7}]]) {
    // Guards against owners that end at each takeover by what a former one stored.
    it(`is read as one that names none: ${JSON.stringify(awaited)}`, async () => {
      const store = new MemoryStore();
      const ownership = await acquireOwnership(store);
      const record = new RecoveryRecord({
        clock: new ManualClock(),
        events: SILENT_EVENTS,
        onFenced: () => undefined,
        ownership,
        store,
      });
      const stored = JSON.stringify({awaited, term: 0, used: []});
      const key = formatRecordKey('recovery', FIRST_CELL);
      (await put(store, key, Buffer.from(stored)))._unsafeUnwrap();
      assert.ok((await record.read()).isOk());
      // Any former owner may have used any minion.
      assert.equal(record.findFormerUse(brand<MinionId>('m1'))?.lastTerm, ownership.term - 1);
      record.close();
      await store.close();
    });
  }
});
