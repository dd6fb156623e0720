import type {EventFields, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, ManualClock} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {ClosingRecord, MinionAccount} from '../../ClosingRecords.ts';
import type {OwnershipToken} from '../../MinionOrders.ts';
import type {RosterEntry} from '../../RosterEntry.ts';

import {ClosingRecords} from '../../ClosingRecords.ts';
import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {delayNextWrite} from './OwnerSamples.ts';

const CLOSING_KEY_SUFFIX = 'closing';
/** Turns of the event loop in which everything happens that waits for no timer. */
const TURNS = 50;

function createEntry(name: string): RosterEntry {
  return {
    description: {id: brand<MinionId>(name)} as MinionDescription,
    silent: {heldUntil: 1_000 as WallTime, runs: []},
  };
}

function createAccount(name: string, runs?: number): MinionAccount {
  const names = Array.from(
    {length: runs ?? 0},
    (_, at) => [`${name}.${at}`, 1 as RunNumber] as const,
  );
  return {
    heldForMs: 7_000,
    id: brand<MinionId>(name),
    runs: runs === undefined ? undefined : names,
  };
}

/** Returns a function that returns true as often as given. */
function createCountdown(times: number): () => boolean {
  let calls = 0;
  return () => {
    calls += 1;
    return calls <= times;
  };
}

describe('ClosingRecords', () => {
  let clock: ManualClock;
  let keepAlive: NodeJS.Timeout;
  let loggedCodes: number[];
  let loggedFields: EventFields[];
  let store: MemoryStore;

  function open(term: number): ClosingRecords {
    const grant = {
      lease: '1' as LeaseId,
      leaseTimes: DEFAULT_LEASE_TIMES,
      term,
      token: term as OwnershipToken,
    };
    return new ClosingRecords({
      clock,
      events: {
        record: ({code}, fields) => {
          loggedCodes.push(code);
          loggedFields.push(fields);
        },
      },
      ownership: new FleetOwnership(grant, 0 as Instant, 0 as WallTime),
      store,
    });
  }

  /** Reads once. */
  async function receive(term: number): Promise<ClosingRecord | undefined> {
    let received: ClosingRecord | undefined;
    await open(term).receive(createCountdown(1), (record) => {
      received = record;
    });
    return received;
  }

  async function readNames(term: number): Promise<string[] | undefined> {
    return (await receive(term))?.silent.map(({description}) => description.id);
  }

  async function readRuns(term: number): Promise<Record<string, number | undefined>> {
    const accounts = (await receive(term))?.accounts ?? [];
    return Object.fromEntries(accounts.map(({id, runs}) => [id, runs?.length]));
  }

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    clock = new ManualClock();
    loggedCodes = [];
    loggedFields = [];
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  it('reaches the next owner and no other', async () => {
    await open(3).send([], [createEntry('m1'), createEntry('m2')]);
    assert.deepEqual(await readNames(4), ['m1', 'm2']);
    assert.equal(await readNames(3), undefined);
    assert.equal(await readNames(5), undefined);
  });

  it('does not replace the record of a later owner', async () => {
    await open(4).send([], [createEntry('later')]);
    await open(3).send([], [createEntry('earlier')]);
    assert.deepEqual(await readNames(5), ['later']);
  });

  it('is sent once the store responds again', async () => {
    store.faults.change({down: true});
    const sent = open(3).send([], [createEntry('m1')]);
    await new Promise((resolve) => setTimeout(resolve, 50));
    store.faults.change({down: false});
    await sent;
    assert.deepEqual(await readNames(4), ['m1']);
  });

  it('is not replaced by a delayed write of the former owner', async () => {
    const delayed = delayNextWrite(store);
    const sent = open(3).send([], [createEntry('earlier')]);
    await new Promise((resolve) => setTimeout(resolve, 20));
    await open(4).send([], [createEntry('later')]);
    await delayed[0]?.arrive();
    await sent;
    assert.deepEqual(await readNames(5), ['later']);
  });

  it('is received once, and again when it was completed', async () => {
    const received: number[] = [];
    await open(4).send([createAccount('m1')], []);
    const isDone = (): boolean => received.length >= 2;
    const receiving = open(5).receive(
      () => !isDone(),
      ({accounts = []}) => received.push(accounts.filter(({runs}) => runs !== undefined).length),
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.deepEqual(received, [0]);
    await open(3).send([createAccount('m1', 2)], []);
    await receiving;
    assert.deepEqual(received, [0, 1]);
  });

  it('is received when it is stored, not at the next read', async (context) => {
    context.mock.timers.enable({apis: ['setTimeout']});
    let isReceived = false;
    void open(4).receive(
      () => !isReceived,
      () => {
        isReceived = true;
      },
    );
    await new Promise((resolve) => setImmediate(resolve));
    await open(3).send([createAccount('m1', 1)], []);
    for (let turn = 0; turn < TURNS; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.ok(isReceived);
  });

  describe('accounts of minions', () => {
    it('are not taken for those of a later owner of an earlier version, whose records contain none', async () => {
      await open(4).send([], [createEntry('m2')]);
      const {values} = (await getPrefix(store, ''))._unsafeUnwrap();
      const key = values.find((stored) => stored.key.endsWith(CLOSING_KEY_SUFFIX))?.key ?? '';
      // That owner may have started runs on any minion; it stores only the silent ones.
      const later = JSON.stringify({silent: [createEntry('m2')], term: 4});
      await put(store, key, Buffer.from(later));
      await open(3).send([createAccount('m1', 0)], []);
      assert.deepEqual(await readRuns(5), {});
      assert.deepEqual(await readNames(5), ['m2']);
    });
    it('say how long a lease lasts from the time of the write', async () => {
      store.faults.change({down: true});
      const sent = open(3).send([createAccount('m1', 1)], []);
      await new Promise((resolve) => setTimeout(resolve, 20));
      clock.advance(2_000);
      store.faults.change({down: false});
      await sent;
      assert.equal((await receive(4))?.accounts?.[0]?.heldForMs, 5_000);
    });

    it('keep what the owner before knew of minions that an owner did not reach', async () => {
      await open(3).send([createAccount('m1', 2), createAccount('m2', 2)], [createEntry('m3')]);
      await open(4).send([createAccount('m1'), createAccount('m2', 1), createAccount('m3')], []);
      assert.deepEqual(await readRuns(5), {m1: 2, m2: 1, m3: undefined});
      assert.deepEqual(await readNames(5), ['m3']);
    });

    it('are completed by the record of the owner before when that is stored later', async () => {
      await open(4).send([], []);
      await open(3).send([createAccount('m1', 2)], []);
      assert.deepEqual(await readRuns(5), {m1: 2});
    });

    it('are not taken over from an owner that was not the one before', async () => {
      await open(2).send([createAccount('m1', 2)], []);
      await open(4).send([createAccount('m1')], []);
      assert.deepEqual(await readRuns(5), {m1: undefined});
    });

    it('are dropped once the minion has left and its lease has expired', async () => {
      for (let term = 3; term < 23; term += 1) {
        await open(term).send([createAccount(`m${term}`, 1)], []);
        clock.advance(60_000);
      }
      assert.deepEqual(await readRuns(23), {m22: 1});
    });

    it('do not end before a lease that an owner may have renewed without knowing the runs', async () => {
      await open(3).send([{...createAccount('m1', 2), heldForMs: 1_000}], []);
      await open(4).send([{...createAccount('m1'), mayBeRenewed: true}], []);
      assert.equal((await receive(5))?.accounts?.[0]?.heldForMs, 7_000);
    });

    it('do not end before a lease that an owner in between may have renewed without recording it', async () => {
      await open(3).send([{...createAccount('m1', 2), heldForMs: 1_000}], [createEntry('m1')]);
      await open(5).send([{...createAccount('m1'), lastTerm: 3, leaseTerm: 4}], []);
      const {accounts, silent} = (await receive(6)) ?? {};
      assert.equal(accounts?.[0]?.runs?.length, 2);
      assert.equal(accounts[0].heldForMs, 7_000);
      assert.deepEqual(silent, []);
    });

    describe('with an unconfirmed start', () => {
      const unconfirmed = createAccount('m1', 1).runs;

      function createDivided(): MinionAccount {
        return {...createAccount('m1', 2), confirmedForMs: 4_000, unconfirmed};
      }

      it('say how long the leases of the other runs last from the time of the write', async () => {
        store.faults.change({down: true});
        const sent = open(3).send([createDivided()], []);
        await new Promise((resolve) => setTimeout(resolve, 20));
        clock.advance(2_000);
        store.faults.change({down: false});
        await sent;
        const account = (await receive(4))?.accounts?.[0];
        assert.deepEqual([account?.confirmedForMs, account?.heldForMs], [2_000, 5_000]);
        assert.deepEqual(account?.unconfirmed, unconfirmed);
      });

      it('keep that time for the next owner that did not reach the minion', async () => {
        await open(3).send([createDivided()], []);
        await open(4).send([createAccount('m1')], []);
        assert.equal((await receive(5))?.accounts?.[0]?.confirmedForMs, 4_000);
      });

      it('do not keep it after an owner that may have renewed the lease', async () => {
        await open(3).send([createDivided()], []);
        await open(5).send([{...createAccount('m1'), lastTerm: 3, leaseTerm: 4}], []);
        const account = (await receive(6))?.accounts?.[0];
        assert.deepEqual([account?.confirmedForMs, account?.runs?.length], [undefined, 2]);
      });

      it('do not apply it to runs that a later account names', async () => {
        await open(3).send([createDivided()], []);
        await open(4).send([{...createAccount('m1', 1), lastTerm: 3, leaseTerm: 3}], []);
        const account = (await receive(5))?.accounts?.[0];
        assert.deepEqual([account?.confirmedForMs, account?.runs?.length], [undefined, 1]);
      });
    });

    it('omit runs that do not fit into a value of the store', async () => {
      await open(3).send([createAccount('m1', 15_000), createAccount('m2', 15_000)], []);
      assert.deepEqual(await readRuns(4), {m1: 15_000, m2: undefined});
    });
  });

  it('logs once that it is not used by an owner that is not the next one', async () => {
    await open(3).send([createAccount('m1', 2)], []);
    await open(5).receive(createCountdown(2), () => undefined);
    const unused = loggedFields.filter(({recordTerm}) => recordTerm !== undefined);
    assert.deepEqual(unused, [{accounts: 1, minions: 0, recordTerm: 3, term: 5}]);
  });

  it('logs a malformed record and waits on', async () => {
    await open(3).send([], [createEntry('m1')]);
    const {values} = (await getPrefix(store, ''))._unsafeUnwrap();
    const key = values.find((stored) => stored.key.endsWith(CLOSING_KEY_SUFFIX))?.key ?? '';
    for (const malformed of ['{', 'null', '{}']) {
      await put(store, key, Buffer.from(malformed));
      assert.equal(await receive(4), undefined);
    }
    assert.ok(loggedCodes.includes(OWNER_EVENTS.RECORD_MALFORMED.code));
  });
});
