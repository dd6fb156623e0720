import type {DataCentreId, EventKind, VmId} from '@nutmegproxy/core';

import {
  brand,
  DEFAULT_PLATFORM_BOUNDS,
  ManualClock,
  SILENT_EVENTS,
  SYSTEM_CLOCK,
} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {CELL_COUNT_KEY} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import {err, errAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {EntryVm} from '../../VmRegistry.ts';

import {
  EXPECTED_OUTAGE_MS,
  VM_LEASE_TTL_MS,
  VM_LIST_INTERVAL_MS,
  VM_RENEWAL_INTERVAL_MS,
} from '../../EntryConstants.ts';
import {ENTRY_EVENTS} from '../../EntryEvents.ts';
import {VmRegistry} from '../../VmRegistry.ts';

const WAIT_ATTEMPTS = 500;
const ENTRY_KEY = `${STATE_PREFIX}vms/vm-1`;
const STEP_MS = 50;
/** Time in milliseconds after which a call without a response fails. */
const CALL_TIMEOUT_MS = 900;
/** Time in milliseconds after which a late call is carried out. */
const LATE_MS = 6_000;

function createVm(name: string): EntryVm {
  return {
    address: '10.0.0.1:80',
    cores: 1,
    dataCentre: brand<DataCentreId>('dc'),
    relayAddress: '10.0.0.1:81',
    vm: brand<VmId>(name),
  };
}

describe('VmRegistry', () => {
  let events: EventKind[];
  let registry: VmRegistry;
  let store: MemoryStore;

  beforeEach(() => {
    events = [];
    store = new MemoryStore();
    registry = new VmRegistry({
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: SYSTEM_CLOCK,
      events: {record: (kind) => events.push(kind)},
      self: createVm('vm-1'),
      store,
    });
  });

  afterEach(async () => {
    await registry.close();
    await store.close();
  });

  it('lists the other VMs and leaves out entries that name none', async () => {
    const other = createVm('vm-2');
    const values = {
      'odd-1': '[{',
      'odd-2': JSON.stringify({...other, address: '10.0.0.1:99999'}),
      'odd-3': JSON.stringify({...other, cores: -1}),
      'odd-4': `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
      'odd-5': JSON.stringify({...other, relayAddress: '10.0.0.400:81'}),
      'vm-2': JSON.stringify(other),
    };
    for (const [name, value] of Object.entries(values)) {
      await put(store, `${STATE_PREFIX}vms/${name}`, Buffer.from(value));
    }
    registry.run();
    for (let attempt = 0; attempt < WAIT_ATTEMPTS && registry.peers.length === 0; attempt += 1) {
      await sleep(10);
    }
    assert.deepEqual(registry.peers, [other]);
    const malformed = events.filter((kind) => kind === ENTRY_EVENTS.VM_ENTRY_MALFORMED);
    assert.equal(malformed.length, 5);
  });

  describe('the list of VMs that can own the fleet', () => {
    async function hasSuccessor(entry: Partial<EntryVm>): Promise<boolean> {
      const value = JSON.stringify({...createVm('vm-2'), ...entry});
      await put(store, `${STATE_PREFIX}vms/vm-2`, Buffer.from(value));
      await registry.refresh();
      return registry.hasSuccessor;
    }

    it('names no VM that is starting, but one of a former version, which does not tell', async () => {
      assert.equal(await hasSuccessor({canOwn: false}), false);
      assert.equal(await hasSuccessor({canOwn: true}), true);
      assert.equal(await hasSuccessor({}), true);
    });

    it('does not name this VM', async () => {
      registry.run();
      registry.announce();
      await sleep(STEP_MS);
      await registry.refresh();
      assert.equal(registry.hasSuccessor, false);
    });
  });

  describe('on a manual clock', () => {
    let clock: ManualClock;

    async function advance(milliseconds: number): Promise<void> {
      for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
        clock.advance(STEP_MS);
        mock.timers.tick(STEP_MS);
        await new Promise(setImmediate);
      }
    }

    function isListed(): boolean {
      store.engine.expire(clock.monotonic());
      return store.engine.values().some(({key}) => key === ENTRY_KEY);
    }

    async function runUntilListed(): Promise<void> {
      registry.run();
      await new Promise(setImmediate);
      assert.equal(isListed(), true);
    }

    /** Lets renewals have no effect and no response while `isLost()`; returns when they were sent. */
    function loseRenewals(isLost: () => boolean): number[] {
      const sentAtMs: number[] = [];
      const keepLeaseAlive = store.keepLeaseAlive.bind(store);
      store.keepLeaseAlive = (lease) => {
        sentAtMs.push(clock.monotonic());
        if (!isLost()) {
          return keepLeaseAlive(lease);
        }
        const timeout = new Promise<void>((resolve) => {
          setTimeout(resolve, CALL_TIMEOUT_MS);
        });
        return new ResultAsync(
          timeout.then(() => err({kind: 'unavailable', message: 'no response'})),
        );
      };
      return sentAtMs;
    }

    /** Lets the store refuse leases below a time to live; returns the times that are requested. */
    function refuseShortLeases(minMs: number): number[] {
      const requestedMs: number[] = [];
      const grantLease = store.grantLease.bind(store);
      store.grantLease = (ttlSeconds) => {
        requestedMs.push(ttlSeconds * 1_000);
        return ttlSeconds * 1_000 < minMs
          ? errAsync({kind: 'rejected', message: 'status 400'})
          : grantLease(ttlSeconds);
      };
      return requestedMs;
    }

    beforeEach(() => {
      clock = new ManualClock();
      store = new MemoryStore(clock);
      registry = new VmRegistry({
        bounds: DEFAULT_PLATFORM_BOUNDS,
        clock: SYSTEM_CLOCK,
        events: {record: (kind) => events.push(kind)},
        self: createVm('vm-1'),
        store,
      });
      mock.timers.enable({apis: ['setTimeout']});
    });

    afterEach(() => {
      mock.timers.reset();
    });

    it('stays listed when its first registration is carried out after its second', async () => {
      const commit = store.commit.bind(store);
      let isFirst = true;
      store.commit = (transaction) => {
        const isRegistration = transaction.then.some(({kind}) => kind === 'put');
        if (!isRegistration || !isFirst) {
          return commit(transaction);
        }
        isFirst = false;
        setTimeout(() => void commit(transaction), LATE_MS);
        const timeout = new Promise<void>((resolve) => {
          setTimeout(resolve, CALL_TIMEOUT_MS);
        });
        return new ResultAsync(timeout.then(() => err({kind: 'unknown', message: 'no response'})));
      };
      registry.run();
      await advance(LATE_MS);
      for (let elapsedMs = LATE_MS; elapsedMs < 3 * VM_LEASE_TTL_MS; elapsedMs += STEP_MS) {
        await advance(STEP_MS);
        assert.ok(isListed(), `not listed after ${String(elapsedMs)} ms`);
      }
    });

    function canOwn(): unknown {
      const entry = store.engine.values().find(({key}) => key === ENTRY_KEY);
      return (JSON.parse(entry?.value.toString() ?? '{}') as Partial<EntryVm>).canOwn;
    }

    it('tells at once that it can own the fleet', async () => {
      await runUntilListed();
      assert.equal(canOwn(), false);
      registry.announce();
      await advance(STEP_MS);
      assert.equal(canOwn(), true);
    });

    it('tells so again when an earlier entry is written late', async () => {
      await runUntilListed();
      const earlier = store.engine.values().find(({key}) => key === ENTRY_KEY);
      assert.ok(earlier);
      registry.announce();
      await advance(STEP_MS);
      await put(store, ENTRY_KEY, earlier.value);
      assert.equal(canOwn(), false);
      await advance(VM_LIST_INTERVAL_MS + VM_RENEWAL_INTERVAL_MS);
      assert.equal(canOwn(), true);
    });

    it('is listed again when its entry was under a lease of the process before', async () => {
      const {lease} = store.engine.grantLease(1, clock.monotonic());
      await runUntilListed();
      await put(store, ENTRY_KEY, Buffer.from(JSON.stringify(createVm('vm-1'))), lease);
      await advance(1_000);
      assert.equal(isListed(), false);
      await advance(VM_LIST_INTERVAL_MS + VM_RENEWAL_INTERVAL_MS);
      assert.equal(isListed(), true);
    });

    it('stays listed through a store outage that begins at any time of its lease', async () => {
      let downFromMs = Infinity;
      loseRenewals(() => {
        const now = clock.monotonic();
        return now >= downFromMs && now < downFromMs + EXPECTED_OUTAGE_MS;
      });
      await runUntilListed();
      for (let offsetMs = 0; offsetMs < VM_LEASE_TTL_MS; offsetMs += 450) {
        downFromMs = clock.monotonic() + offsetMs;
        for (let elapsedMs = 0; elapsedMs < 3 * VM_LEASE_TTL_MS; elapsedMs += STEP_MS) {
          await advance(STEP_MS);
          assert.ok(isListed(), `not listed ${String(elapsedMs - offsetMs)} ms after the start`);
        }
      }
    });

    it('is not listed again when its lease ended while it was being closed', async () => {
      await runUntilListed();
      const keepLeaseAlive = store.keepLeaseAlive.bind(store);
      store.keepLeaseAlive = (lease) => {
        const answered = new Promise<void>((resolve) => {
          setTimeout(resolve, STEP_MS);
        });
        return new ResultAsync(answered.then(() => keepLeaseAlive(lease)));
      };
      await advance(VM_RENEWAL_INTERVAL_MS);
      await registry.close();
      await advance(STEP_MS);
      assert.equal(isListed(), false);
    });

    it('requests the usual time to live from a store that grants it', async () => {
      const requestedMs = refuseShortLeases(1_000);
      await runUntilListed();
      assert.deepEqual(requestedMs, [VM_LEASE_TTL_MS]);
    });

    it('is listed in a store that refuses leases as short as the usual one', async () => {
      const minStoreLeaseMs = VM_LEASE_TTL_MS + 2_000;
      refuseShortLeases(minStoreLeaseMs);
      registry = new VmRegistry({
        bounds: {minStoreLeaseMs},
        clock: SYSTEM_CLOCK,
        events: {record: (kind) => events.push(kind)},
        self: createVm('vm-1'),
        store,
      });
      await runUntilListed();
      await advance(3 * minStoreLeaseMs);
      assert.equal(isListed(), true);
    });

    it('renews seven times within its lease while the store does not respond', async () => {
      const sentAtMs = loseRenewals(() => true);
      await runUntilListed();
      await advance(VM_LEASE_TTL_MS);
      const inTime = sentAtMs.filter((each) => each < VM_LEASE_TTL_MS);
      assert.ok(inTime.length >= 7, `${String(inTime.length)} renewals`);
    });

    it('renews once in 3 s while the store responds', async () => {
      const sentAtMs = loseRenewals(() => false);
      await runUntilListed();
      await advance(60_000);
      assert.ok(sentAtMs.length <= 20, `${String(sentAtMs.length)} renewals`);
    });

    it('calls a store that refuses calls at once no more than once a second', async () => {
      let calls = 0;
      await runUntilListed();
      store.keepLeaseAlive = () => {
        calls += 1;
        return new ResultAsync(
          Promise.resolve(err({kind: 'unavailable', message: 'refused'} as const)),
        );
      };
      await advance(60_000);
      assert.ok(calls <= 60, `${String(calls)} calls`);
    });
  });

  it('hands the stored number of cells on with each list, without another call to the store', async () => {
    const seen: (string | undefined)[] = [];
    registry = new VmRegistry({
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      onCellCount: (stored) => seen.push(stored?.value.toString()),
      self: createVm('vm-1'),
      store,
    });
    await put(store, `${STATE_PREFIX}vms/vm-2`, Buffer.from(JSON.stringify(createVm('vm-2'))));
    const commit = store.commit.bind(store);
    let commits = 0;
    store.commit = (transaction) => {
      commits += 1;
      return commit(transaction);
    };
    await registry.refresh();
    assert.equal(commits, 1);
    await put(store, CELL_COUNT_KEY, Buffer.from('{"cells":3}'));
    await registry.refresh();
    store.faults.change({down: true});
    await registry.refresh();
    assert.deepEqual(seen, [undefined, '{"cells":3}']);
    assert.deepEqual(
      registry.peers.map(({vm}) => vm),
      ['vm-2'],
    );
  });
});
