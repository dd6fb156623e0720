import type {MinionState} from '@nutmegproxy/scheduling';

import {ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';
import type {HeldWrite} from './OwnerSamples.ts';

import {MinionEnrollment} from '../../MinionEnrollment.ts';
import {Roster} from '../../Roster.ts';
import {
  acquireOwnership,
  createMinion,
  holdWrites,
  waitForStore,
  waitForWrite,
} from './OwnerSamples.ts';

describe('MinionEnrollment', () => {
  let enrollment: MinionEnrollment;
  let fleet: Fleet;
  let held: HeldWrite[];
  let keepAlive: NodeJS.Timeout;
  let minion: MinionState;
  let ownership: FleetOwnership;
  let roster: Roster;
  let store: MemoryStore;
  let uses: number;

  beforeEach(async () => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    store = new MemoryStore();
    ownership = await acquireOwnership(store);
    held = holdWrites(store);
    const onFenced = (): void => undefined;
    const clock = new ManualClock();
    roster = new Roster({clock, events: SILENT_EVENTS, onFenced, ownership, store});
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
    uses = 0;
    const recordUse = (): Promise<void> => {
      uses += 1;
      return Promise.resolve();
    };
    const onChange = (): void => undefined;
    enrollment = new MinionEnrollment({fleet, onChange, ownership, recovery: {recordUse}, roster});
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    roster.close();
    await store.close();
  });

  it('registers a minion once the stored roster contains it', async () => {
    const recorded = enrollment.recordUse(minion);
    const write = await waitForWrite(held, 1);
    assert.deepEqual([uses, minion.isRegistered], [1, false]);
    write.release();
    await recorded;
    assert.equal(minion.isRegistered, true);
  });

  describe('of a draining minion', () => {
    beforeEach(() => {
      minion.description = {...minion.description, isDraining: true};
    });

    function markDraining(term: number): void {
      roster.markDraining(minion.description, {runs: [], term});
    }

    it('records no use without a draining record of this term', async () => {
      markDraining(ownership.term - 1);
      (await waitForWrite(held, 1)).release();
      await enrollment.recordUse(minion);
      assert.deepEqual([uses, minion.isRegistered], [0, false]);
    });

    it('records the use once that record is stored', async () => {
      markDraining(ownership.term);
      const recorded = enrollment.recordUse(minion);
      const write = await waitForWrite(held, 1);
      assert.match(write.text, /"draining"/);
      assert.deepEqual([uses, minion.isRegistered], [0, false]);
      write.release();
      await recorded;
      assert.deepEqual([uses, minion.isRegistered], [1, true]);
    });

    it('records no use of one that was forgotten meanwhile', async () => {
      markDraining(ownership.term);
      const recorded = enrollment.recordUse(minion);
      const write = await waitForWrite(held, 1);
      fleet.minions.delete(minion.id);
      write.release();
      await recorded;
      await waitForStore();
      assert.equal(uses, 0);
    });
  });
});
