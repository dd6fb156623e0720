import type {EventKind, JobId, WallTime} from '@nutmegproxy/core';
import type {CellIndex, JobRequest, QueueId, StepShape} from '@nutmegproxy/jobs';
import type {PlatformStore, Transaction} from '@nutmegproxy/store';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {
  decodeJob,
  decodePlace,
  encodePlace,
  encodeRecord,
  findJobCell,
  formatJobKey,
  formatPlaceKey,
  formatRecordKey,
  listCells,
} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, getPrefix, isWrite, put} from '@nutmegproxy/store';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import {ENTRY_EVENTS} from '../../EntryEvents.ts';
import {JobApi} from '../../JobApi.ts';
import {StoreHealth} from '../../StoreHealth.ts';
import {CALL, ROUTE} from './JobApiSamples.ts';

const CELLS = 3;
const JOBS = 30;
const STEP: StepShape = {
  after: [],
  checkpoints: false,
  count: 20,
  disruptionBudget: undefined,
  estimateMs: undefined,
  fillsSpareCpu: false,
  gang: true,
  image: undefined,
  longRunning: false,
  maxPerMinion: 1,
  preferredRack: undefined,
  rackLocal: false,
  requiredLabel: undefined,
  resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 1_000},
  speculative: false,
  tailTargetMs: undefined,
};

function createJob(number: number): JobRequest {
  const id = brand<JobId>(number.toString(16).padStart(16, '0'));
  return {id, payload: '', recurrence: undefined, steps: [STEP]};
}

function findHome({id}: JobRequest): CellIndex {
  return findJobCell(id, CELLS);
}

describe('JobApi of a fleet whose jobs have places', () => {
  // The timers of the retries are unreferenced and do not keep the process alive.
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });
  let events: EventKind[];
  let store: MemoryStore;

  beforeEach(() => {
    events = [];
    store = new MemoryStore();
  });

  /** Creates the API of one more VM. */
  function createApi(view: PlatformStore = store, cells = CELLS): JobApi {
    const sink = {record: (kind: EventKind) => events.push(kind)};
    return new JobApi({
      clock: SYSTEM_CLOCK,
      division: () => ({cells, hasPlaces: cells > 1}),
      events: sink,
      health: new StoreHealth(sink),
      random: () => 0.5,
      store: view,
    });
  }

  /** Publishes that a cell has so many minions. */
  async function publish(cell: number, minions: number): Promise<void> {
    const group = {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000, service: 'mesa'};
    const outlook = {groups: [{...group, minions}], labels: {}, writtenAt: SYSTEM_CLOCK.wall()};
    const text = JSON.stringify({counts: {}, outlook});
    await write(formatRecordKey('waiting', cell as CellIndex), text);
  }

  /** Publishes that one cell alone holds a step. */
  async function publishOnly(wide: number): Promise<void> {
    for (const cell of listCells(CELLS)) {
      await publish(cell, cell === wide ? 30 : 4);
    }
  }

  async function write(key: string, text: string): Promise<void> {
    (await put(store, key, Buffer.from(text)))._unsafeUnwrap();
  }

  /** Returns the cells that have a request of a job. */
  async function findCells({id}: JobRequest): Promise<CellIndex[]> {
    const found: CellIndex[] = [];
    for (const cell of listCells(CELLS)) {
      const stored = (await getKey(store, formatJobKey(id, 'request', cell)))._unsafeUnwrap();
      found.push(...(stored === undefined ? [] : [cell]));
    }
    return found;
  }

  async function readPlace({id}: JobRequest): Promise<CellIndex | undefined> {
    const stored = (await getKey(store, formatPlaceKey(id)))._unsafeUnwrap();
    return stored && decodePlace(stored.value, CELLS)._unsafeUnwrap();
  }

  /** Returns a job whose home is not the cell. */
  function createStranger(cell: number): JobRequest {
    const number = Array.from({length: JOBS}, (_, each) => each).find(
      (each) => findHome(createJob(each)) !== cell,
    );
    assert.ok(number !== undefined);
    return createJob(number);
  }

  async function submitStranger(): Promise<JobRequest> {
    await publishOnly(1);
    const job = createStranger(1);
    assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
    return job;
  }

  /** Calls that a VM makes to the store; `commit` makes one. */
  type Intercept = (
    transaction: Transaction,
    commit: PlatformStore['commit'],
  ) => ReturnType<PlatformStore['commit']>;

  /** Returns the store as a VM reaches it. */
  function createView(intercept: Intercept): PlatformStore {
    const commit = store.commit.bind(store);
    return new Proxy(store, {
      get: (target, name) => {
        if (name === 'commit') {
          return (transaction: Transaction) => intercept(transaction, commit);
        }
        const value: unknown = Reflect.get(target, name);
        return typeof value === 'function' ? (value.bind(target) as unknown) : value;
      },
    });
  }

  function readsPlace({then}: Transaction, {id}: JobRequest): boolean {
    return then.some((each) => each.kind === 'get' && each.key === formatPlaceKey(id));
  }

  it('stores a job in the cell that holds it, with a place unless that is its home', async () => {
    await publishOnly(1);
    for (let number = 0; number < JOBS; number += 1) {
      const job = createJob(number);
      assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
      assert.deepEqual(await findCells(job), [1]);
      assert.equal(await readPlace(job), findHome(job) === 1 ? undefined : 1);
      const key = formatJobKey(job.id, 'request', 1 as CellIndex);
      const stored = (await getKey(store, key))._unsafeUnwrap();
      const decoded = decodeJob(stored?.value ?? Buffer.from(''))._unsafeUnwrap();
      assert.equal(decoded.isPlaced === true, findHome(job) !== 1, 'what retention goes by');
    }
  });

  it('finds and cancels on another VM a job that is not in its home', async () => {
    const job = await submitStranger();
    assert.equal((await createApi().readStatus(ROUTE, job.id, CALL))._unsafeUnwrap(), 'queued');
    const progress = {queue: ROUTE.id, status: 'running' as const, steps: {}};
    const key = formatJobKey(job.id, 'progress', 1 as CellIndex);
    (await put(store, key, encodeRecord(progress)))._unsafeUnwrap();
    assert.equal((await createApi().readStatus(ROUTE, job.id, CALL))._unsafeUnwrap(), 'running');
    assert.equal((await createApi().cancel(ROUTE, job.id, CALL))._unsafeUnwrap(), true);
    const cancelled = formatJobKey(job.id, 'cancel', 1 as CellIndex);
    assert.ok((await getKey(store, cancelled))._unsafeUnwrap());
  });

  it('knows no job that nobody submitted, nor a job of another queue', async () => {
    await publishOnly(1);
    const {id} = createJob(7);
    assert.equal((await createApi().readStatus(ROUTE, id, CALL))._unsafeUnwrap(), undefined);
    assert.equal((await createApi().cancel(ROUTE, id, CALL))._unsafeUnwrap(), false);
    const job = await submitStranger();
    const other = {...ROUTE, id: 'other' as QueueId};
    assert.equal((await createApi().readStatus(other, job.id, CALL))._unsafeUnwrap(), undefined);
    assert.equal((await createApi().cancel(other, job.id, CALL))._unsafeUnwrap(), false);
  });

  it('does not store again what was stored elsewhere, whatever is published meanwhile', async () => {
    for (let number = 0; number < JOBS; number += 1) {
      const job = createJob(number);
      await publishOnly(number % CELLS);
      assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
      await publishOnly((number + 1) % CELLS);
      assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
      assert.deepEqual(await findCells(job), [number % CELLS]);
    }
  });

  it('stores a job once when VMs that choose different cells are asked at the same time', async () => {
    for (let number = 0; number < JOBS; number += 1) {
      const job = createJob(number);
      const apis: JobApi[] = [];
      for (const cell of listCells(CELLS)) {
        await publishOnly(cell);
        const api = createApi();
        // It knows what is published now, and decides by that afterwards.
        assert.ok((await api.submit(ROUTE, createJob(1_000 * (number + 1) + cell), CALL)).isOk());
        apis.push(api);
      }
      const submitted = await Promise.all(apis.map((api) => api.submit(ROUTE, job, CALL)));
      assert.ok(submitted.every((each) => each.isOk()));
      const found = await findCells(job);
      assert.equal(found.length, 1);
      assert.equal((await readPlace(job)) ?? findHome(job), found[0]);
    }
  });

  for (const isCarriedOut of [false, true]) {
    it(`stores a job once when the answer is lost and another VM is asked, ${isCarriedOut ? 'stored' : 'not stored'}`, async () => {
      await publishOnly(1);
      const job = createStranger(1);
      const late: Transaction[] = [];
      const view = createView((transaction, commit) => {
        if (!isWrite(transaction)) {
          return commit(transaction);
        }
        late.push(transaction);
        const lostAnswer = errAsync({kind: 'unknown' as const, message: 'the answer was lost'});
        return isCarriedOut ? commit(transaction).andThen(() => lostAnswer) : lostAnswer;
      });
      const lost = await createApi(view).submit(ROUTE, job, CALL);
      assert.equal(lost._unsafeUnwrapErr().kind, 'unknown');
      await publishOnly(2);
      assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
      // The first write arrives late.
      for (const transaction of late) {
        await store.commit(transaction);
      }
      assert.equal((await findCells(job)).length, 1);
      assert.equal((await createApi().readStatus(ROUTE, job.id, CALL))._unsafeUnwrap(), 'queued');
    });
  }

  describe('refuses calls and never says that there is no such job, when its place', () => {
    for (const text of ['', '{', '{"cell":3}', '{"cell":-1}', '{}']) {
      it(`is malformed: ${text}`, async () => {
        const job = await submitStranger();
        await write(formatPlaceKey(job.id), text);
        const api = createApi();
        assert.equal(
          (await api.readStatus(ROUTE, job.id, CALL))._unsafeUnwrapErr().kind,
          'not-run',
        );
        assert.equal((await api.cancel(ROUTE, job.id, CALL))._unsafeUnwrapErr().kind, 'not-run');
        // The job may have been accepted and run.
        assert.equal((await api.submit(ROUTE, job, CALL))._unsafeUnwrapErr().kind, 'unknown');
        assert.deepEqual(await findCells(job), [1]);
        const reports = events.filter((kind) => kind === ENTRY_EVENTS.PLACE_MALFORMED);
        assert.equal(reports.length, 1, 'is reported once');
      });
    }

    it('names a cell without the job', async () => {
      const job = createStranger(1);
      await write(formatPlaceKey(job.id), encodePlace(1 as CellIndex).toString());
      const api = createApi();
      assert.ok((await api.readStatus(ROUTE, job.id, CALL)).isErr());
      assert.ok((await api.cancel(ROUTE, job.id, CALL)).isErr());
    });

    it('can not be read', async () => {
      const job = await submitStranger();
      const view = createView((transaction, commit) =>
        readsPlace(transaction, job)
          ? errAsync({kind: 'unavailable', message: 'down'})
          : commit(transaction),
      );
      assert.ok((await createApi(view).readStatus(ROUTE, job.id, CALL)).isErr());
      assert.ok((await createApi(view).cancel(ROUTE, job.id, CALL)).isErr());
    });
  });

  it('says that there is no such job once it and its place were removed between two reads', async () => {
    const job = await submitStranger();
    const keys = [formatPlaceKey(job.id), formatJobKey(job.id, 'request', 1 as CellIndex)];
    const removal: Transaction = {
      compare: [],
      then: keys.map((key) => ({key, kind: 'delete' as const})),
    };
    const view = createView((transaction, commit) =>
      commit(transaction).andThen((read) =>
        readsPlace(transaction, job) ? commit(removal).map(() => read) : okAsync(read),
      ),
    );
    const status = await createApi(view).readStatus(ROUTE, job.id, CALL);
    assert.equal(status._unsafeUnwrap(), undefined);
  });

  it('stores jobs in their homes while what is published is malformed or old', async () => {
    const old = {groups: [], labels: {}, writtenAt: 0 as WallTime};
    for (const text of [
      '{',
      '{"counts":{},"outlook":7}',
      JSON.stringify({counts: {}, outlook: old}),
    ]) {
      for (const cell of listCells(CELLS)) {
        await write(formatRecordKey('waiting', cell), text);
      }
      for (let number = 0; number < JOBS; number += 1) {
        const job = createJob(number);
        assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
        assert.deepEqual(await findCells(job), [findHome(job)]);
      }
    }
    assert.deepEqual((await getPrefix(store, 'nutmegproxy/place/'))._unsafeUnwrap().values, []);
  });

  it('calls the store only for what is needed in a fleet that is not divided', async () => {
    const calls: Transaction[] = [];
    const view = createView((transaction, commit) => {
      calls.push(transaction);
      return commit(transaction);
    });
    const job = createJob(1);
    const api = createApi(view, 1);
    const key = formatJobKey(job.id, 'request');
    await api.readStatus(ROUTE, job.id, CALL);
    await api.submit(ROUTE, job, CALL);
    await api.submit(ROUTE, job, CALL);
    await api.cancel(ROUTE, job.id, CALL);
    const kinds = calls.map(({compare, then}) => [
      compare.map((each) => each.key),
      then.map((each) => ('key' in each ? each.key : each.kind)),
    ]);
    assert.deepEqual(kinds, [
      [[], [formatJobKey(job.id, 'progress')]],
      [[], [`nutmegproxy/fleet/jobs/${job.id}/`]],
      [[key, formatJobKey(job.id, 'cancel')], [key]],
      [[key, formatJobKey(job.id, 'cancel')], [key]],
      // What is stored already is a job, or its cancellation.
      [[], [`nutmegproxy/fleet/jobs/${job.id}/`]],
      [[], [`nutmegproxy/fleet/jobs/${job.id}/`]],
      [[], [formatJobKey(job.id, 'cancel')]],
    ]);
  });
});
