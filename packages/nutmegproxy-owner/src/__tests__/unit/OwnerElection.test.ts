import type {EventFields, EventSink} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';

import {ManualClock} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import {err, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';
import type {ElectionOptions, OwnerElection} from '../../OwnerElection.ts';
import type {KnownCellCount} from '../../StoredCellCount.ts';

import {REVOKE_ATTEMPTS, REVOKE_RETRY_MS} from '../../OwnerConstants.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {CELL_COUNT_KEY} from '../../StoredCellCount.ts';
import {createElection} from './OwnerSamples.ts';

const STEP_MS = 10;
/** Time in milliseconds after which a call without a response fails. */
const CALL_TIMEOUT_MS = 900;
const TERM_KEY = `${STATE_PREFIX}term`;

describe('OwnerElection', () => {
  let clock: ManualClock;
  let store: MemoryStore;

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore();
  });

  afterEach(async () => {
    await store.close();
  });

  function open(
    vm: string,
    change: Partial<Pick<ElectionOptions, 'cell' | 'count'>> = {},
  ): OwnerElection {
    return createElection({clock, store}, vm, change);
  }

  async function acquire(election: OwnerElection): Promise<FleetOwnership> {
    return (await election.acquire())._unsafeUnwrap();
  }

  /** Acquires and releases the ownership for a VM; returns the revision of the release. */
  async function acquireAndRelease(vm: string): Promise<number> {
    const election = open(vm);
    await election.resign(await acquire(election), 'planned stop');
    const read = await store.commit({compare: [], then: [{key: 'none', kind: 'get'}]});
    return read._unsafeUnwrap().revision;
  }

  describe('the end of the former ownership', () => {
    it('is when the removal of its key was seen', async () => {
      const election = open('vm-2');
      const releasedAt = clock.monotonic();
      election.recordRelease(await acquireAndRelease('vm-1'), releasedAt);
      clock.advance(1_500);
      assert.equal((await acquire(election)).formerReleasedAt, releasedAt);
    });

    it('is not that of an owner before the last one, whose end was not seen', async () => {
      const election = open('vm-3');
      election.recordRelease(await acquireAndRelease('vm-1'), clock.monotonic());
      clock.advance(1_500);
      await acquireAndRelease('vm-2');
      clock.advance(1_500);
      assert.equal((await acquire(election)).formerReleasedAt, clock.monotonic());
    });

    it('is passed on by a VM that granted no lease to one that saw nothing', async () => {
      const second = open('vm-2');
      second.recordRelease(await acquireAndRelease('vm-1'), clock.monotonic());
      const releasedAt = clock.monotonic();
      clock.advance(1_500);
      await second.resign(await acquire(second), 'planned stop');
      const third = open('vm-3');
      assert.equal((await acquire(third)).formerReleasedAt, releasedAt);
    });

    it('is not that of the owner before a VM that may have granted leases', async () => {
      const second = open('vm-2');
      second.recordRelease(await acquireAndRelease('vm-1'), clock.monotonic());
      clock.advance(1_500);
      const ownership = await acquire(second);
      ownership.recordLeaseGrant();
      await second.resign(ownership, 'planned stop');
      assert.equal((await acquire(open('vm-3'))).formerReleasedAt, clock.monotonic());
    });

    it('is not that of the owner before an earlier version, which says nothing of it', async () => {
      const second = open('vm-2');
      second.recordRelease(await acquireAndRelease('vm-1'), clock.monotonic());
      clock.advance(1_500);
      await second.resign(await acquire(second), 'planned stop');
      // Versions before the record of the sequence increment the term alone.
      const stored = (await getKey(store, TERM_KEY))._unsafeUnwrap();
      const term = Number(stored?.value.toString()) + 1;
      await put(store, TERM_KEY, Buffer.from(String(term)));
      assert.equal((await acquire(open('vm-3'))).formerReleasedAt, clock.monotonic());
    });

    it('is the acquisition when no removal was seen', async () => {
      await acquireAndRelease('vm-1');
      clock.advance(1_500);
      assert.equal((await acquire(open('vm-2'))).formerReleasedAt, clock.monotonic());
    });
  });

  describe('an acquisition', () => {
    const SECOND_CELL = 1 as CellIndex;
    const THIRD_CELL = 2 as CellIndex;

    async function storeCount(cells: number): Promise<KnownCellCount> {
      const value = Buffer.from(JSON.stringify({cells}));
      return {
        cells,
        hasPlaces: false,
        revision: (await put(store, CELL_COUNT_KEY, value))._unsafeUnwrap(),
      };
    }

    async function findFailure(election: OwnerElection): Promise<string> {
      return (await election.acquire())._unsafeUnwrapErr().kind;
    }

    it('fails for a VM that goes by another number of cells than is stored', async () => {
      const count = await storeCount(3);
      await storeCount(2);
      assert.equal(await findFailure(open('vm-1', {count})), 'countChanged');
      assert.equal(await findFailure(open('vm-1')), 'countChanged');
    });

    it('fails once the number was removed, and for another number at the same revision', async () => {
      const count = await storeCount(3);
      const other = {cells: 2, hasPlaces: false, revision: count.revision};
      assert.equal(await findFailure(open('vm-1', {count: other})), 'countChanged');
      await store.commit({compare: [], then: [{key: CELL_COUNT_KEY, kind: 'delete'}]});
      assert.equal(await findFailure(open('vm-1', {count})), 'countChanged');
    });

    it('fails while what is stored is no number, since a VM may know a former one', async () => {
      const count = await storeCount(3);
      await put(store, CELL_COUNT_KEY, Buffer.from('{"cells":"3"}'));
      assert.equal(await findFailure(open('vm-1', {count})), 'countMalformed');
    });

    it('fails when the number is stored between its read and its write', async () => {
      const grantLease = store.grantLease.bind(store);
      store.grantLease = (ttlSeconds) =>
        put(store, CELL_COUNT_KEY, Buffer.from('{"cells":3}')).andThen(() =>
          grantLease(ttlSeconds),
        );
      assert.equal(await findFailure(open('vm-1')), 'taken');
      assert.equal((await getKey(store, OWNER_KEY))._unsafeUnwrap(), undefined);
    });

    it('fails while another cell is owned under a former number, a removed one too', async () => {
      const former = await storeCount(3);
      const second = open('vm-1', {cell: SECOND_CELL, count: former});
      const third = open('vm-1', {cell: THIRD_CELL, count: former});
      const [owned, owned3] = [await acquire(second), await acquire(third)];
      const count = await storeCount(2);
      assert.equal(await findFailure(open('vm-2', {count})), 'formerCount');
      await third.resign(owned3, 'end');
      assert.equal(await findFailure(open('vm-2', {count})), 'formerCount');
      await store.commit({compare: [], then: [{key: CELL_COUNT_KEY, kind: 'delete'}]});
      assert.equal(await findFailure(open('vm-2')), 'formerCount');
      await second.resign(owned, 'end');
      await acquire(open('vm-2'));
    });

    it('fails beside an owner that names no number, where owners name it', async () => {
      const value = Buffer.from('{"cells":3,"ownersNameCells":true}');
      const revision = (await put(store, CELL_COUNT_KEY, value))._unsafeUnwrap();
      const count = {cells: 3, hasPlaces: false, ownersNameCells: true, revision};
      await put(store, OWNER_KEY, Buffer.from('{"lease":"1","vm":"former"}'));
      assert.equal(await findFailure(open('vm-1', {cell: SECOND_CELL, count})), 'formerCount');
      await store.commit({compare: [], then: [{key: OWNER_KEY, kind: 'delete'}]});
      await acquire(open('vm-1', {count}));
      await acquire(open('vm-1', {cell: SECOND_CELL, count}));
    });

    it('does not fail beside an owner of the first version with cells, which names no number', async () => {
      const count = await storeCount(3);
      await put(store, OWNER_KEY, Buffer.from('{"lease":"1","vm":"former"}'));
      await acquire(open('vm-1', {cell: SECOND_CELL, count}));
    });

    it('asks the store for as much as before: a read, a lease and a write', async () => {
      const commit = store.commit.bind(store);
      let commits = 0;
      store.commit = (transaction) => {
        commits += 1;
        return commit(transaction);
      };
      await acquire(open('vm-1'));
      assert.equal(commits, 2);
    });

    it('reads few keys and prefixes of a fleet that is not divided, each of which may be a call', async () => {
      const commit = store.commit.bind(store);
      let reads = 0;
      store.commit = (transaction) => {
        reads += transaction.then.filter(({kind}) => kind === 'get').length;
        return commit(transaction);
      };
      await acquire(open('vm-1'));
      assert.equal(reads, 5);
    });
  });

  describe('the release of the ownership', () => {
    let calls: number;

    /** Resigns; each of the calls that end the lease fails for which `isLate` says so. */
    async function resign(isLate: (call: number) => boolean): Promise<void> {
      const election = open('vm-1');
      const ownership = await acquire(election);
      ownership.recordLeaseGrant();
      const revokeLease = store.revokeLease.bind(store);
      store.revokeLease = (lease) => {
        calls += 1;
        if (!isLate(calls)) {
          return revokeLease(lease);
        }
        const timeout = new Promise<void>((resolve) => {
          setTimeout(resolve, CALL_TIMEOUT_MS);
        });
        return new ResultAsync(timeout.then(() => err({kind: 'unknown', message: 'no response'})));
      };
      mock.timers.enable({apis: ['setTimeout']});
      const resignation = {isOver: false};
      void election.resign(ownership, 'planned stop').then(() => {
        resignation.isOver = true;
      });
      for (
        let elapsedMs = 0;
        elapsedMs < DEFAULT_LEASE_TIMES.ownershipTtlMs;
        elapsedMs += STEP_MS
      ) {
        await new Promise(setImmediate);
        if (resignation.isOver) {
          return;
        }
        mock.timers.tick(STEP_MS);
        clock.advance(STEP_MS);
      }
      assert.fail('still pending after the time to live of the lease');
    }

    beforeEach(() => {
      calls = 0;
    });

    afterEach(() => {
      mock.timers.reset();
    });

    it('is not delayed to the end of its lease by a call without a response', async () => {
      await resign((call) => call === 1);
      assert.equal((await getKey(store, OWNER_KEY))._unsafeUnwrap(), undefined);
      assert.ok(clock.monotonic() <= 2 * REVOKE_RETRY_MS, `${String(clock.monotonic())} ms`);
    });

    it('is one call when it is answered at once', async () => {
      await resign(() => false);
      assert.equal(calls, 1);
    });

    it('is given up after some calls without a response', async () => {
      await resign(() => true);
      assert.equal(calls, REVOKE_ATTEMPTS);
    });
  });

  it('logs at the end of an ownership how long ago it was confirmed, and the store responded otherwise', async () => {
    const lost: EventFields[] = [];
    const events: EventSink = {
      record: (kind, fields) => {
        if (kind === OWNER_EVENTS.OWNERSHIP_LOST) {
          lost.push(fields);
        }
      },
    };
    const election = createElection({clock, store}, 'vm-1', {events});
    const ownership = await acquire(election);
    clock.advance(5_000);
    ownership.confirm(clock.monotonic(), clock.wall());
    clock.advance(8_400);
    ownership.directorySeenAt = clock.monotonic();
    clock.advance(200);
    await election.resign(ownership, 'lease not renewed');
    assert.deepEqual(lost, [
      {
        confirmedMs: 8_600,
        directorySeenMs: 200,
        reason: 'lease not renewed',
        term: 0,
        termMs: 13_600,
        vm: 'vm-1',
        wasSuspended: false,
      },
    ]);
  });
});
