import type {EventKind, JobId} from '@nutmegproxy/core';
import type {JobRequest} from '@nutmegproxy/jobs';
import type {PlatformStore, StoreFailure, Transaction} from '@nutmegproxy/store';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {findJobCell, formatJobKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix, isWrite} from '@nutmegproxy/store';
import {err, ok, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import {ENTRY_EVENTS} from '../../EntryEvents.ts';
import {JobApi} from '../../JobApi.ts';
import {StoreHealth} from '../../StoreHealth.ts';
import {CALL, ROUTE} from './JobApiSamples.ts';

const ID = brand<JobId>('00000000000000a1');
const JOB: JobRequest = {id: ID, payload: '', recurrence: undefined, steps: []};

/** A write that a VM has sent and the store has not carried out. */
interface LateWrite {
  readonly carryOut: () => Promise<void>;
}

// Guards against a job that runs for good although its cancellation was acknowledged, as its submission was still
// waiting at a VM that stood still.
for (const [cells, hasPlaces] of [
  [1, false],
  [3, false],
  [3, true],
] as const) {
  describe(`A job that is cancelled before it is stored: ${cells} cells, places: ${hasPlaces}`, () => {
    // The timers of the retries are unreferenced and do not keep the process alive.
    const keepAlive = setInterval(() => undefined, 1_000);
    after(() => {
      clearInterval(keepAlive);
    });
    const home = findJobCell(ID, cells);
    const markKey = formatJobKey(ID, 'cancel', home);
    let events: EventKind[];
    let late: LateWrite[];
    let store: MemoryStore;

    beforeEach(() => {
      events = [];
      late = [];
      store = new MemoryStore();
    });

    /** Creates the API of one more VM. */
    function createApi(view: PlatformStore = store): JobApi {
      const sink = {record: (kind: EventKind) => events.push(kind)};
      return new JobApi({
        clock: SYSTEM_CLOCK,
        division: () => ({cells, hasPlaces}),
        events: sink,
        health: new StoreHealth(sink),
        random: () => 0.5,
        store: view,
      });
    }

    /** Returns a view of the store with another way to commit. */
    function createView(
      commit: (transaction: Transaction) => ReturnType<PlatformStore['commit']>,
    ): PlatformStore {
      return new Proxy<PlatformStore>(store, {
        get: (target, name: keyof PlatformStore) =>
          name === 'commit' ? commit : (target[name].bind(target) as unknown),
      });
    }

    /** Returns a view of the store that carries out writes when told, and doesn't answer them. */
    function createLateView(): PlatformStore {
      const lost: StoreFailure = {kind: 'unknown', message: 'no response'};
      return createView((transaction) => {
        if (!isWrite(transaction)) {
          return store.commit(transaction);
        }
        late.push({
          carryOut: async () => {
            (await store.commit(transaction))._unsafeUnwrap();
          },
        });
        return new ResultAsync(Promise.resolve(err(lost)));
      });
    }

    async function listKeys(): Promise<string[]> {
      const read = await getPrefix(store, '');
      return read._unsafeUnwrap().values.map(({key}) => key);
    }

    it('is not stored by a submission that comes later, which is refused as not run', async () => {
      assert.equal((await createApi().cancel(ROUTE, ID, CALL))._unsafeUnwrap(), false);
      const refused = await createApi().submit(ROUTE, JOB, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'not-run');
      assert.deepEqual(await listKeys(), [markKey]);
      assert.equal((await createApi().readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), undefined);
    });

    it('is not stored by a submission that the store carries out later', async () => {
      const submitted = await createApi(createLateView()).submit(ROUTE, JOB, CALL);
      assert.equal(submitted._unsafeUnwrapErr().kind, 'unknown');
      assert.equal((await createApi().cancel(ROUTE, ID, CALL))._unsafeUnwrap(), false);
      assert.ok(late.length > 0);
      for (const write of late) {
        await write.carryOut();
      }
      assert.deepEqual(await listKeys(), [markKey]);
    });

    it('is cancelled when it is stored while its cancellation looks for it', async () => {
      let isStored = false;
      const view = createView((transaction) => {
        const result = store.commit(transaction);
        if (isStored || isWrite(transaction)) {
          return result;
        }
        isStored = true;
        return result.andThen((response) =>
          ResultAsync.fromSafePromise(createApi().submit(ROUTE, JOB, CALL)).andThen((submitted) => {
            assert.ok(submitted.isOk());
            return ok(response);
          }),
        );
      });
      assert.equal((await createApi(view).cancel(ROUTE, ID, CALL))._unsafeUnwrap(), true);
      assert.equal((await createApi().readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), 'cancelled');
    });

    it('is cancelled by one write, however often that is asked for', async () => {
      let writes = 0;
      const view = createView((transaction) => {
        writes += isWrite(transaction) ? 1 : 0;
        return store.commit(transaction);
      });
      for (let call = 0; call < 3; call += 1) {
        assert.equal((await createApi(view).cancel(ROUTE, ID, CALL))._unsafeUnwrap(), false);
      }
      assert.equal(writes, 1);
      assert.equal(events.filter((kind) => kind === ENTRY_EVENTS.CANCELLED_EARLY).length, 1);
    });

    it('is said to be unknown only once that is stored', async () => {
      store.faults.change({loseShare: 1});
      const cancelled = await createApi().cancel(ROUTE, ID, CALL);
      assert.ok(cancelled.isErr());
    });

    it('leaves the acknowledgement of a stored job as it is', async () => {
      assert.ok((await createApi().submit(ROUTE, JOB, CALL)).isOk());
      assert.equal((await createApi().cancel(ROUTE, ID, CALL))._unsafeUnwrap(), true);
      assert.ok((await createApi().submit(ROUTE, JOB, CALL)).isOk());
      assert.equal((await createApi().readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), 'cancelled');
    });
  });
}
