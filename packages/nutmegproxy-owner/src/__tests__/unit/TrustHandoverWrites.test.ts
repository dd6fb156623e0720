/** How often an owner writes its record because of minions that it does not trust. */

import {ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {TrustHandover} from '../../TrustHandover.ts';
import {acquireOwnership, createMinion} from './OwnerSamples.ts';

describe('TrustHandover', () => {
  // Guards against a record that is written again and again while nothing has changed.
  it('writes once where more minions than it names have failed in the same millisecond', async () => {
    const clock = new ManualClock();
    const store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    const events = SILENT_EVENTS;
    const record = new RecoveryRecord({clock, events, onFenced: () => undefined, ownership, store});
    const fleet = new Fleet(events);
    const handover = new TrustHandover({clock, fleet, record});
    clock.advance(10);
    for (let number = 0; number < 101; number += 1) {
      const minion = createMinion(`m${number}`);
      fleet.minions.set(minion.id, minion);
      // The first one has failed before the others, by less than a millisecond.
      clock.advance(number === 1 ? 0.5 : 0);
      minion.trust.recordStall(clock.monotonic());
    }
    let writes = 0;
    record.update = () => {
      writes += 1;
      record.listUntrusted();
      return Promise.resolve();
    };
    clock.advance(0.2);
    for (let second = 0; second < 6; second += 1) {
      handover.refresh(clock.monotonic());
      clock.advance(1_000.3);
    }
    await store.close();
    assert.equal(writes, 1);
  });
});

