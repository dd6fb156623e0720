import type {JobId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {encodeRecord, formatJobKey, formatRecordKey} from '@nutmegproxy/jobs';
import {RevisionLog} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {JobApi, type Refusal} from '../../JobApi.ts';
import {StoreHealth} from '../../StoreHealth.ts';
import {CALL, ROUTE} from './JobApiSamples.ts';

const VALID_MS = 2_500;
const CELLS = 2;
/** A call without time for a second attempt: the clock of these tests stands still. */
const HASTY_CALL = {...CALL, timeoutMs: 0};

// Guards against callers who hear that nothing waits while accepted jobs wait: an owner counted them before it was killed,
// and so were the next ones before they could count.
describe('The queue lengths of a VM', () => {
  let api: JobApi;
  let clock: ManualClock;
  let revisions: RevisionLog;
  let store: MemoryStore;

  beforeEach(() => {
    clock = new ManualClock();
    revisions = new RevisionLog();
    store = new MemoryStore();
    api = createApi();
  });

  afterEach(async () => {
    await store.close();
  });

  function createApi(): JobApi {
    return new JobApi({
      clock,
      division: () => ({cells: CELLS, hasPlaces: false}),
      events: SILENT_EVENTS,
      health: new StoreHealth(SILENT_EVENTS),
      random: () => 0.5,
      revisions,
      store,
    });
  }

  /** Publishes how many jobs wait in a cell, as its owner does; this VM learns the revision by its watches. */
  async function publish(
    cell: number,
    waiting: number,
    validMs: number | undefined,
  ): Promise<void> {
    const key = formatRecordKey('waiting', cell as CellIndex);
    const text = JSON.stringify({counts: {[ROUTE.id]: waiting}, validMs});
    const revision = (await put(store, key, Buffer.from(text)))._unsafeUnwrap();
    revisions.record(revision, clock.monotonic());
  }

  async function publishAll(waiting: number): Promise<void> {
    for (let cell = 0; cell < CELLS; cell += 1) {
      await publish(cell, waiting, VALID_MS);
    }
  }

  async function count(): Promise<number | Refusal> {
    const counted = await api.countQueued(ROUTE.id, HASTY_CALL);
    return counted.match(
      (waiting): number | Refusal => waiting,
      (refusal) => refusal,
    );
  }

  function assertRefused(counted: number | Refusal): void {
    assert.ok(typeof counted === 'object', `${JSON.stringify(counted)} jobs are said to wait`);
    assert.equal(counted.kind, 'not-run');
    assert.equal(counted.isByAll, true, 'another VM would refuse it as well');
    assert.ok(counted.retryAfterMs <= 1_500, 'the next owner is likely to publish soon');
  }

  it('are not given once no owner has written them for their validity', async () => {
    await publishAll(0);
    assert.equal(await count(), 0);
    clock.advance(VALID_MS);
    assert.equal(await count(), 0);
    clock.advance(401);
    assertRefused(await count());
  });

  it('are not given while the owner of one cell of several is gone', async () => {
    await publishAll(1);
    clock.advance(VALID_MS + 1);
    await publish(0, 3, VALID_MS);
    assertRefused(await count());
    await publish(1, 4, VALID_MS);
    clock.advance(401);
    assert.equal(await count(), 7);
  });

  it('are given for as long as an owner writes them, though they do not change', async () => {
    for (let round = 0; round < 20; round += 1) {
      await publishAll(2);
      clock.advance(1_400);
      assert.equal(await count(), 2 * CELLS);
    }
  });

  it('count their age from the first read on a VM that has just started', async () => {
    await publishAll(0);
    revisions = new RevisionLog();
    api = createApi();
    clock.advance(60_000);
    assert.equal(await count(), 0);
    clock.advance(VALID_MS + 1);
    assertRefused(await count());
  });

  it('count their age from what the watches of the VM have shown, not from the first read', async () => {
    await publishAll(0);
    clock.advance(VALID_MS + 1);
    assertRefused(await count());
  });

  it('do not get younger by other writes to the store', async () => {
    await publishAll(0);
    clock.advance(VALID_MS + 1);
    const id = brand<JobId>('00000000000000a1');
    const job = {id, payload: '', queue: ROUTE.id, recurrence: undefined, steps: []};
    const stored = encodeRecord({...job, acceptedAt: clock.wall(), service: ROUTE.service});
    await put(store, formatJobKey(id, 'request'), stored);
    assertRefused(await count());
  });

  it('are not given before each cell has published its own', async () => {
    await publish(0, 4, VALID_MS);
    assertRefused(await count());
  });

  it('of an owner of an earlier version are given whatever their age, as it writes them only when changed', async () => {
    for (let cell = 0; cell < CELLS; cell += 1) {
      await publish(cell, 3, undefined);
    }
    clock.advance(60_000);
    assert.equal(await count(), 3 * CELLS);
  });
});
