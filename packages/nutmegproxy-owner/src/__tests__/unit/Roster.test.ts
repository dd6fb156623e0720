import type {Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';
import {RevisionLog} from '../../RevisionLog.ts';
import {Roster} from '../../Roster.ts';
import {changeBetweenWrites, createMinion, holdWrites, waitForWrite} from './OwnerSamples.ts';

const ROSTER_KEY = `${STATE_PREFIX}roster`;
const LEASE_MS = 7_000;
const SILENT = {heldUntil: 1_000 as WallTime, runs: []};
const UNCONFIRMED = [['3f6718a4051e2adb.0.0.0', 1 as RunNumber]] as const;
/** Time in real milliseconds in which a change is stored. */
const SETTLED_MS = 30;

function describeMinion(name: string): MinionDescription {
  return {...createMinion().description, id: brand<MinionId>(name)};
}

describe('Roster', () => {
  let clock: ManualClock;
  let keepAlive: NodeJS.Timeout;
  let revisions: RevisionLog;
  let store: MemoryStore;
  let token: OwnershipToken;

  beforeEach(async () => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    clock = new ManualClock();
    revisions = new RevisionLog();
    store = new MemoryStore();
    token = (await put(store, OWNER_KEY, Buffer.from('vm')))._unsafeUnwrap() as OwnershipToken;
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  function open(): Roster {
    const grant = {
      lease: brand<FleetOwnership['lease']>('1'),
      leaseTimes: DEFAULT_LEASE_TIMES,
      revisions,
      term: 0,
      token,
    };
    return new Roster({
      clock,
      events: SILENT_EVENTS,
      onFenced: () => undefined,
      ownership: new FleetOwnership(grant, clock.monotonic(), clock.wall()),
      store,
    });
  }

  /** Stores a minion whose lease expires after `LEASE_MS`. */
  async function storeSilent(): Promise<Roster> {
    const roster = open();
    const expiresAt = (clock.monotonic() + LEASE_MS) as Instant;
    roster.markSilent(describeMinion('m1'), SILENT, expiresAt);
    await settle();
    return roster;
  }

  /** Returns the time in milliseconds until the lease of the minion expires for the next owner. */
  async function readExpiry(): Promise<number | undefined> {
    const roster = open();
    await roster.read();
    const expiresAt = roster.findExpiry(brand<MinionId>('m1'));
    return expiresAt && expiresAt - clock.monotonic();
  }

  async function settle(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, SETTLED_MS));
  }

  async function observe(): Promise<void> {
    const read = await store.commit({compare: [], then: [{key: OWNER_KEY, kind: 'get'}]});
    revisions.record(read._unsafeUnwrap().revision, clock.monotonic());
  }

  describe('the lease of a silent minion', () => {
    it('counts from when the reader knew that it was stored', async () => {
      await storeSilent();
      clock.advance(1_000);
      await observe();
      clock.advance(2_000);
      assert.equal(await readExpiry(), LEASE_MS - 2_000);
    });

    it('counts from the read when the reader observed nothing', async () => {
      await storeSilent();
      clock.advance(2_000);
      assert.equal(await readExpiry(), LEASE_MS);
    });

    it('does not count anew when its owner stores the roster again', async () => {
      const roster = await storeSilent();
      clock.advance(3_000);
      await roster.add([describeMinion('m2')]);
      await observe();
      assert.equal(await readExpiry(), LEASE_MS - 3_000);
    });

    it('is not known by a duration once its record is replaced without one', async () => {
      const roster = await storeSilent();
      roster.markSilent(describeMinion('m1'), SILENT, undefined);
      await settle();
      await observe();
      assert.equal(await readExpiry(), undefined);
    });

    it('is not known by a duration once the minion responds', async () => {
      const roster = await storeSilent();
      await roster.clearRecord(describeMinion('m1'));
      await observe();
      assert.equal(await readExpiry(), undefined);
      const stored = (await getKey(store, ROSTER_KEY))._unsafeUnwrap();
      assert.doesNotMatch(String(stored?.value), /heldForMs/);
    });
  });

  describe('the lease of the confirmed runs of a silent minion with an unconfirmed start', () => {
    /** Returns the time in milliseconds until it expires for the next owner. */
    async function readConfirmedExpiry(roster: Roster): Promise<number | undefined> {
      await roster.read();
      const expiresAt = roster.findConfirmedExpiry(brand<MinionId>('m1'));
      return expiresAt && expiresAt - clock.monotonic();
    }

    beforeEach(async () => {
      const silent = {...SILENT, runs: UNCONFIRMED, unconfirmed: UNCONFIRMED};
      const expiresAt = (clock.monotonic() + LEASE_MS) as Instant;
      open().markSilent(describeMinion('m1'), silent, undefined, expiresAt);
      await settle();
      await observe();
    });

    it('does not count anew when the next owner stores the roster again', async () => {
      clock.advance(1_000);
      const next = open();
      assert.equal(await readConfirmedExpiry(next), LEASE_MS - 1_000);
      clock.advance(2_000);
      await next.add([describeMinion('m2')]);
      await observe();
      assert.equal(await readConfirmedExpiry(open()), LEASE_MS - 3_000);
    });

    it('is not stored beside the lease of all runs when no run is unconfirmed', async () => {
      const now = clock.monotonic();
      open().markSilent(describeMinion('m1'), SILENT, now, now);
      await settle();
      const stored = (await getKey(store, ROSTER_KEY))._unsafeUnwrap();
      assert.doesNotMatch(String(stored?.value), /confirmedForMs/);
    });

    it('is not the lease of all runs for owners of earlier versions', async () => {
      assert.equal(await readExpiry(), undefined);
      const stored = (await getKey(store, ROSTER_KEY))._unsafeUnwrap();
      assert.doesNotMatch(String(stored?.value), /heldForMs/);
    });
  });

  describe('that changes while it is written', () => {
    it('tells each minion when it is stored, not once no others come', async () => {
      const roster = open();
      const held = holdWrites(store);
      const storedAfter = await changeBetweenWrites(held, 4, (index) =>
        roster.add([describeMinion(`m${index}`)]),
      );
      assert.deepEqual(storedAfter, [1, 2, 3, 4, undefined]);
      roster.close();
    });

    it('tells when a record is removed, not once no others change', async () => {
      const roster = await storeSilent();
      const held = holdWrites(store);
      const storedAfter = await changeBetweenWrites(held, 4, (index) =>
        index === 0
          ? roster.clearRecord(describeMinion('m1'))
          : roster.add([describeMinion(`other ${index}`)]),
      );
      assert.equal(storedAfter[0], 1);
      roster.close();
    });

    it('does not take a record for removed while an earlier write may store it', async () => {
      const roster = open();
      const held = holdWrites(store);
      roster.markSilent(describeMinion('m1'), SILENT, undefined);
      const first = await waitForWrite(held, 1);
      let isCleared = false;
      const cleared = roster.clearRecord(describeMinion('m1')).then(() => {
        isCleared = true;
      });
      first.release();
      const second = await waitForWrite(held, 2);
      assert.match(first.text, /"silent"/);
      assert.doesNotMatch(second.text, /"silent"/);
      assert.equal(isCleared, false);
      second.release();
      await cleared;
      roster.close();
    });
  });
});
