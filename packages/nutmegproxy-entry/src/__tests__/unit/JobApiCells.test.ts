import type {JobId} from '@nutmegproxy/core';
import type {CellIndex, JobRequest} from '@nutmegproxy/jobs';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {encodeRecord, findJobCell, formatJobKey, formatRecordKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import {JobApi} from '../../JobApi.ts';
import {StoreHealth} from '../../StoreHealth.ts';
import {CALL, ROUTE} from './JobApiSamples.ts';

const JOBS = 20;

function createJob(number: number): JobRequest {
  const id = brand<JobId>(number.toString(16).padStart(16, '0'));
  return {id, payload: '', recurrence: undefined, steps: []};
}

for (const cells of [1, 3]) {
  describe(`JobApi of a fleet with ${cells} cells`, () => {
    // The timers of the retries are unreferenced and do not keep the process alive.
    const keepAlive = setInterval(() => undefined, 1_000);
    after(() => {
      clearInterval(keepAlive);
    });
    let store: MemoryStore;

    beforeEach(() => {
      store = new MemoryStore();
    });

    /** Creates the API of one more VM. */
    function createApi(): JobApi {
      return new JobApi({
        clock: SYSTEM_CLOCK,
        division: () => ({cells, hasPlaces: false}),
        events: SILENT_EVENTS,
        health: new StoreHealth(SILENT_EVENTS),
        random: () => 0.5,
        store,
      });
    }

    async function publishLengths(cell: number, value: string): Promise<void> {
      const key = formatRecordKey('waiting', cell as CellIndex);
      (await put(store, key, Buffer.from(value)))._unsafeUnwrap();
    }

    it('finds, cancels and does not store again on another VM what one has accepted', async () => {
      for (let number = 0; number < JOBS; number += 1) {
        const job = createJob(number);
        const key = formatJobKey(job.id, 'request', findJobCell(job.id, cells));
        assert.ok((await createApi().submit(ROUTE, job, CALL)).isOk());
        const stored = (await getKey(store, key))._unsafeUnwrap();
        assert.ok(stored);
        const other = createApi();
        assert.ok((await other.submit(ROUTE, job, CALL)).isOk());
        assert.equal((await getKey(store, key))._unsafeUnwrap()?.modRevision, stored.modRevision);
        assert.equal((await other.readStatus(ROUTE, job.id, CALL))._unsafeUnwrap(), 'queued');
        assert.equal((await other.cancel(ROUTE, job.id, CALL))._unsafeUnwrap(), true);
        assert.equal(
          (await createApi().readStatus(ROUTE, job.id, CALL))._unsafeUnwrap(),
          'cancelled',
        );
      }
    });

    it("returns the status that the owner of the job's cell has stored", async () => {
      for (let number = 0; number < JOBS; number += 1) {
        const {id} = createJob(number);
        const progress = {queue: ROUTE.id, status: 'running' as const, steps: {}};
        const key = formatJobKey(id, 'progress', findJobCell(id, cells));
        (await put(store, key, encodeRecord(progress)))._unsafeUnwrap();
        assert.equal((await createApi().readStatus(ROUTE, id, CALL))._unsafeUnwrap(), 'running');
      }
    });

    it('knows no job that nobody submitted', async () => {
      const {id} = createJob(7);
      assert.equal((await createApi().readStatus(ROUTE, id, CALL))._unsafeUnwrap(), undefined);
      assert.equal((await createApi().cancel(ROUTE, id, CALL))._unsafeUnwrap(), false);
    });

    it('adds up what waits in each cell, so that callers do not hear too little', async () => {
      for (let cell = 0; cell < cells; cell += 1) {
        await publishLengths(cell, '{"counts":{"proofs":4,"other":1}}');
      }
      assert.equal((await createApi().countQueued(ROUTE.id, CALL))._unsafeUnwrap(), 4 * cells);
    });

    it('counts nothing in a cell that the fleet does not have', async () => {
      for (let cell = 0; cell <= cells; cell += 1) {
        await publishLengths(cell, '{"counts":{"proofs":4}}');
      }
      assert.equal((await createApi().countQueued(ROUTE.id, CALL))._unsafeUnwrap(), 4 * cells);
    });

    it('refuses to count while a cell has not published: nobody knows how many jobs wait there', async () => {
      for (let cell = 0; cell < cells; cell += 1) {
        const refused = await createApi().countQueued(ROUTE.id, CALL);
        assert.equal(refused._unsafeUnwrapErr().kind, 'not-run');
        await publishLengths(cell, '{"counts":{"proofs":4}}');
      }
      assert.ok((await createApi().countQueued(ROUTE.id, CALL)).isOk());
    });

    it('refuses to count while the lengths of a cell are malformed', async () => {
      await publishLengths(cells - 1, '{"counts"');
      const refused = await createApi().countQueued(ROUTE.id, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'not-run');
      await publishLengths(cells - 1, '7');
      assert.ok((await createApi().countQueued(ROUTE.id, CALL)).isErr());
    });
  });
}
