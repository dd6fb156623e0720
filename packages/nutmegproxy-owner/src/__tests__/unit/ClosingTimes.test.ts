import type {Instant, MinionId} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {formatRecordKey} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {ClosingRecords} from '../../ClosingRecords.ts';
import {FleetOwnership, type OwnershipGrant} from '../../FleetOwnership.ts';

/** Lease in milliseconds of the only minion when its owner ends. */
const LEASE_MS = 7_000;
const TERM = 4;

describe('The times of a closing record', () => {
  let clock: ManualClock;
  let former: FleetOwnership;
  let keepAlive: NodeJS.Timeout;
  let releasedAt: Instant;
  let store: MemoryStore;

  function open(ownership: FleetOwnership): ClosingRecords {
    return new ClosingRecords({clock, events: SILENT_EVENTS, ownership, store});
  }

  function own(term: number, change: Partial<OwnershipGrant> = {}): FleetOwnership {
    const grant = {
      lease: '1' as LeaseId,
      leaseTimes: DEFAULT_LEASE_TIMES,
      recordingSince: 0,
      term,
      token: term as OwnershipToken,
      ...change,
    };
    return new FleetOwnership(grant, clock.monotonic(), clock.wall());
  }

  async function send(ownership: FleetOwnership): Promise<void> {
    await open(ownership).send([{heldForMs: LEASE_MS, id: brand<MinionId>('m1'), runs: []}], []);
  }

  /** Returns the remaining time in milliseconds of the lease, as the next owner counts it. */
  async function readHeldForMs(change: Partial<OwnershipGrant> = {}): Promise<number | undefined> {
    let heldForMs: number | undefined;
    const next = own(TERM + 1, {formerReleasedAt: releasedAt, ...change});
    await open(next).receive(
      () => heldForMs === undefined,
      ({accounts = []}) => {
        heldForMs = accounts[0]?.heldForMs;
      },
    );
    return heldForMs;
  }

  /** Ends the former ownership by a planned stop; the next VM sees its release at once. */
  function stopAsPlanned(): void {
    clock.advance(400);
    former.giveUp(clock.monotonic(), clock.wall());
    releasedAt = clock.monotonic();
  }

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    clock = new ManualClock();
    former = own(TERM);
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  describe('that is stored after the release of the ownership', () => {
    beforeEach(async () => {
      stopAsPlanned();
      clock.advance(100);
      await send(former);
    });

    it('count from there for a VM that saw the release', async () => {
      clock.advance(1_300);
      assert.equal(await readHeldForMs(), LEASE_MS - 1_300);
    });

    it('tell for how long a lease has been over', async () => {
      clock.advance(LEASE_MS + 1_000);
      assert.equal(await readHeldForMs(), -1_000);
    });

    it('count from the read for a VM that saw nothing before', async () => {
      clock.advance(1_300);
      assert.equal(await readHeldForMs({formerReleasedAt: clock.monotonic()}), LEASE_MS);
    });

    it('count from the last release when that of the last owner with leases is not the one of the record', async () => {
      clock.advance(1_300);
      const change = {
        formerLeaseTerm: TERM - 1,
        formerReleasedAt: (releasedAt - 5_000) as Instant,
        lastReleasedAt: releasedAt,
      };
      assert.equal(await readHeldForMs(change), LEASE_MS - 1_300);
    });

    it('count from the read in a record of an earlier version', async () => {
      const key = formatRecordKey('closing', former.cell);
      const stored = (await getKey(store, key))._unsafeUnwrap();
      const record = JSON.parse(stored?.value.toString() ?? '') as object;
      await put(store, key, Buffer.from(JSON.stringify({...record, sinceEndMs: undefined})));
      clock.advance(1_300);
      assert.equal(await readHeldForMs(), LEASE_MS);
    });
  });

  it('count from the read in a record that the owner before has completed', async () => {
    const before = own(TERM - 1);
    stopAsPlanned();
    const unread = {heldForMs: LEASE_MS, id: brand<MinionId>('m1'), lastTerm: TERM - 1};
    await open(former).send([unread], []);
    clock.advance(500);
    await send(before);
    clock.advance(1_300);
    assert.equal(await readHeldForMs(), LEASE_MS);
  });

  for (const {end, name} of [
    {
      end: (): void => {
        former.end();
      },
      name: 'by itself',
    },
    {
      end: (): void => {
        former.giveUp(clock.monotonic(), clock.wall());
      },
      name: 'by a planned stop that came later',
    },
  ]) {
    it(`never end before the lease does when the ownership had ended unnoticed, and its owner ended ${name}`, async () => {
      const {ownershipTtlMs} = DEFAULT_LEASE_TIMES;
      clock.advance(ownershipTtlMs);
      releasedAt = clock.monotonic();
      // The owner grants leases until it ends.
      clock.advance(3_000);
      end();
      await send(former);
      clock.advance(500);
      assert.ok(((await readHeldForMs()) ?? 0) >= LEASE_MS - 500);
    });
  }

  describe('of an owner whose machine is suspended', () => {
    let suspendedMs: number;

    /** Time passes that the monotonic clock of the owner does not count. */
    function suspend(milliseconds: number): void {
      clock.advance(milliseconds);
      suspendedMs += milliseconds;
    }

    function giveUp(): void {
      former.giveUp((clock.monotonic() - suspendedMs) as Instant, clock.wall());
    }

    /** Sends the record by the clocks of the owner, and returns the remaining time by those of the next one. */
    async function pass(): Promise<number | undefined> {
      const ownClock = {
        monotonic: () => (clock.monotonic() - suspendedMs) as Instant,
        wall: () => clock.wall(),
      };
      const options = {clock: ownClock, events: SILENT_EVENTS, ownership: former, store};
      const account = {heldForMs: LEASE_MS, id: brand<MinionId>('m1'), runs: []};
      await new ClosingRecords(options).send([account], []);
      return readHeldForMs();
    }

    beforeEach(() => {
      suspendedMs = 0;
    });

    for (const milliseconds of [400, 5_000]) {
      it(`never end before the lease does: ${milliseconds} ms before its planned stop`, async () => {
        // The ownership lease expires while the machine is suspended.
        clock.advance(DEFAULT_LEASE_TIMES.ownershipTtlMs - 200);
        suspend(200);
        releasedAt = clock.monotonic();
        suspend(milliseconds - 200);
        giveUp();
        assert.ok(((await pass()) ?? 0) >= LEASE_MS);
      });

      it(`never end before the lease does: ${milliseconds} ms after its planned stop`, async () => {
        clock.advance(300);
        giveUp();
        releasedAt = clock.monotonic();
        suspend(milliseconds);
        assert.ok(((await pass()) ?? 0) >= LEASE_MS);
      });
    }
  });
});
