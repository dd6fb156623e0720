/** Recovery records whose untrusted minions are malformed, or are of an earlier version. */

import type {MinionId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {acquireOwnership} from './OwnerSamples.ts';

const ID = brand<MinionId>('m1');

describe('A recovery record', () => {
  let record: RecoveryRecord;
  let store: MemoryStore;

  beforeEach(async () => {
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
    record.close();
    await store.close();
  });

  async function read(untrusted: unknown): Promise<void> {
    const stored = JSON.stringify({awaited: [], term: 0, untrusted, used: [ID]});
    (
      await put(store, formatRecordKey('recovery', FIRST_CELL), Buffer.from(stored))
    )._unsafeUnwrap();
    (await record.read())._unsafeUnwrap();
  }

  for (const untrusted of [undefined, null, 7, 'x', {}, [], [7], ['x'], [null], [{}], [[]]]) {
    // Guards against owners that stop at each takeover by what a former one stored.
    it(`is read where its untrusted minions are ${JSON.stringify(untrusted)}`, async () => {
      await read(untrusted);
      assert.equal(record.findFormerTrust(ID), undefined);
      assert.equal(record.findFormerUse(ID)?.lastTerm, 0);
    });
  }
});
