import type {Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';
import type {RosterEntry} from '../../Roster.ts';

import {ClosingRecords} from '../../ClosingRecords.ts';
import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {delayNextWrite} from './OwnerSamples.ts';

const CLOSING_KEY_SUFFIX = 'closing';

function createEntry(name: string): RosterEntry {
  return {
    description: {id: brand<MinionId>(name)} as MinionDescription,
    silent: {heldUntil: 1_000 as WallTime, runs: []},
  };
}

describe('ClosingRecords', () => {
  let keepAlive: NodeJS.Timeout;
  let loggedCodes: number[];
  let store: MemoryStore;

  function open(term: number): ClosingRecords {
    const grant = {lease: '1' as LeaseId, term, token: term as OwnershipToken};
    return new ClosingRecords({
      clock: SYSTEM_CLOCK,
      events: {record: ({code}) => loggedCodes.push(code)},
      ownership: new FleetOwnership(grant, 0 as Instant, 0 as WallTime),
      store,
    });
  }

  /** Reads once. */
  function receive(term: number): Promise<readonly RosterEntry[] | undefined> {
    let reads = 0;
    return open(term).receive(() => {
      reads += 1;
      return reads <= 1;
    });
  }

  async function readNames(term: number): Promise<string[] | undefined> {
    return (await receive(term))?.map(({description}) => description.id);
  }

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    loggedCodes = [];
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  it('reaches the next owner and no other', async () => {
    await open(3).send([createEntry('m1'), createEntry('m2')]);
    assert.deepEqual(await readNames(4), ['m1', 'm2']);
    assert.equal(await readNames(3), undefined);
    assert.equal(await readNames(5), undefined);
  });

  it('does not replace the record of a later owner', async () => {
    await open(4).send([createEntry('later')]);
    await open(3).send([createEntry('earlier')]);
    assert.deepEqual(await readNames(5), ['later']);
  });

  it('is sent once the store responds again', async () => {
    store.faults.change({down: true});
    const sent = open(3).send([createEntry('m1')]);
    await new Promise((resolve) => setTimeout(resolve, 50));
    store.faults.change({down: false});
    await sent;
    assert.deepEqual(await readNames(4), ['m1']);
  });

  it('is not replaced by a delayed write of the former owner', async () => {
    const delayed = delayNextWrite(store);
    const sent = open(3).send([createEntry('earlier')]);
    await new Promise((resolve) => setTimeout(resolve, 20));
    await open(4).send([createEntry('later')]);
    await delayed[0]?.arrive();
    await sent;
    assert.deepEqual(await readNames(5), ['later']);
  });

  it('is not stored without silent minions', async () => {
    await open(3).send([]);
    assert.equal((await getPrefix(store, ''))._unsafeUnwrap().values.length, 0);
  });

  it('logs a malformed record and waits on', async () => {
    await open(3).send([createEntry('m1')]);
    const {values} = (await getPrefix(store, ''))._unsafeUnwrap();
    const key = values.find((stored) => stored.key.endsWith(CLOSING_KEY_SUFFIX))?.key ?? '';
    await put(store, key, Buffer.from('{'));
    assert.equal(await receive(4), undefined);
    assert.ok(loggedCodes.includes(OWNER_EVENTS.RECORD_MALFORMED.code));
  });
});
