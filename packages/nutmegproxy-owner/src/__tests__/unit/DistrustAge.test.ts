/** How old distrust is that owners pass on, each a process that has started after the one before stored it. */

import type {Instant, JobId, MinionId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {MinionTrust} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {acquireOwnership} from './OwnerSamples.ts';

const ID = brand<MinionId>('m1');
const BORN_AT = 1_000;
const OWNER_MS = 3_000;
const OWNERS = 10;

describe('Distrust that owners pass on', () => {
  let clock: ManualClock;
  let keepAlive: NodeJS.Timeout;
  let store: MemoryStore;

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    clock = new ManualClock();
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  /** Lets an owner act for some time in a process that knows nothing before; returns its trust when it ends. */
  async function act(trust: MinionTrust): Promise<MinionTrust> {
    const record = new RecoveryRecord({
      clock,
      events: SILENT_EVENTS,
      onFenced: () => undefined,
      ownership: await acquireOwnership(store),
      store,
    });
    (await record.read())._unsafeUnwrap();
    const former = record.findFormerTrust(ID);
    if (former !== undefined) {
      trust.import(former.snapshot, former.storedBy);
    }
    record.listUntrusted = () => {
      const snapshot = trust.export(BORN_AT, clock.monotonic());
      return snapshot === undefined ? [] : [{...snapshot, id: ID}];
    };
    await record.update();
    clock.advance(OWNER_MS);
    record.close();
    return trust;
  }

  // Guards against a minion that gets nothing for as long as the owner's process restarts again and again.
  it('ends some time after the last failure, however many owners pass it on', async () => {
    const first = new MinionTrust();
    first.recordFailure(brand<JobId>('a'), clock.monotonic());
    first.recordFailure(brand<JobId>('b'), clock.monotonic());
    let last = await act(first);
    for (let owner = 1; owner < OWNERS; owner += 1) {
      last = await act(new MinionTrust());
    }
    assert.equal(last.level((clock.monotonic() - OWNER_MS) as Instant), 'trusted');
  });
});
