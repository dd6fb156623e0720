import type {Instant, JobId} from '@nutmegproxy/core';
import type {JobRequest, QueueId} from '@nutmegproxy/jobs';
import type {StoreFailure} from '@nutmegproxy/store';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeJob, formatJobKey, JobState} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import {errAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import {JobApi} from '../../JobApi.ts';
import {chooseRetryAfter} from '../../RetryAfter.ts';
import {StoreHealth} from '../../StoreHealth.ts';
import {CALL, ROUTE} from './JobApiSamples.ts';

const UNAVAILABLE: StoreFailure = {kind: 'unavailable', message: 'down'};
const ID = brand<JobId>('00000000000000a1');
const OTHER_ID = brand<JobId>('00000000000000a2');
const JOB: JobRequest = {id: ID, payload: '', recurrence: undefined, steps: []};

describe('JobApi', () => {
  // The timers of the retries are unreferenced and do not keep the process alive.
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });
  let api: JobApi;
  let health: StoreHealth;
  let store: MemoryStore;

  beforeEach(() => {
    store = new MemoryStore();
    health = new StoreHealth(SILENT_EVENTS);
    api = createApi(store);
  });

  function createApi(jobStore: MemoryStore): JobApi {
    return new JobApi({
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      health,
      random: () => 0.5,
      store: jobStore,
    });
  }

  describe('submit', () => {
    it('accepts a job once it is stored, and does not store it again on resubmission', async () => {
      assert.ok((await api.submit(ROUTE, JOB, CALL)).isOk());
      const first = (await getKey(store, formatJobKey(ID, 'request')))._unsafeUnwrap();
      assert.ok((await api.submit(ROUTE, JOB, CALL)).isOk());
      const second = (await getKey(store, formatJobKey(ID, 'request')))._unsafeUnwrap();
      assert.equal(second?.modRevision, first?.modRevision);
    });

    // Guards against attempts beyond those of a queue that is removed when no owner sees it go.
    it('stores with a job how many attempts its queue allows', async () => {
      for (const [maxAttempts, id] of [[2, ID] as const, [5, OTHER_ID] as const]) {
        await api.submit({...ROUTE, maxAttempts}, {...JOB, id}, CALL);
        const stored = (await getKey(store, formatJobKey(id, 'request')))._unsafeUnwrap();
        assert.ok(stored);
        const request = decodeJob(stored.value)._unsafeUnwrap();
        const withoutQueues = new Fleet(SILENT_EVENTS);
        const {maxAttempts: kept} = withoutQueues.resolveQueuePolicy(
          new JobState(request, stored.createRevision),
        );
        assert.equal(kept, maxAttempts);
      }
    });

    // Guards against starts without tickets once the queue is removed, which minions reject for good.
    it('stores with a job which advice its queue needs', async () => {
      const advice = {callMs: 20, perMinionMs: 2, validMs: 5_000};
      for (const [each, id] of [[advice, ID] as const, [undefined, OTHER_ID] as const]) {
        await api.submit({...ROUTE, advice: each}, {...JOB, id}, CALL);
        const stored = (await getKey(store, formatJobKey(id, 'request')))._unsafeUnwrap();
        assert.ok(stored);
        const request = decodeJob(stored.value)._unsafeUnwrap();
        const job = new JobState(request, stored.createRevision);
        assert.deepEqual(new Fleet(SILENT_EVENTS).resolveQueuePolicy(job).advice, each);
      }
    });

    it('refuses with not-run when the write can not have taken effect', async () => {
      store.faults.change({down: true});
      const refused = await api.submit(ROUTE, JOB, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'not-run');
    });

    it('refuses with unknown when the response to the write was lost', async () => {
      store.faults.change({loseShare: 1});
      const refused = await api.submit(ROUTE, JOB, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'unknown');
    });

    it('refuses with unknown when a rejected attempt follows one whose response was lost', async () => {
      const outcomes: StoreFailure[] = [
        {kind: 'unknown', message: 'the connection was lost'},
        {kind: 'rejected', message: 'status 400'},
      ];
      const failing = new MemoryStore();
      failing.commit = () => errAsync(outcomes.shift() ?? UNAVAILABLE);
      const refused = await createApi(failing).submit(ROUTE, JOB, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'unknown');
      assert.deepEqual(outcomes, []);
      await failing.close();
    });

    it('accepts a job whose write took effect although one response was lost', async () => {
      store.faults.change({loseNext: 1});
      assert.ok((await api.submit(ROUTE, JOB, CALL)).isOk());
    });

    it('refuses at once while the store is known to be unavailable', async () => {
      const now = SYSTEM_CLOCK.monotonic();
      health.recordOutcome(false, (now - 5_000) as Instant);
      const started = performance.now();
      const refused = await api.submit(ROUTE, JOB, CALL);
      assert.equal(refused._unsafeUnwrapErr().kind, 'not-run');
      assert.ok(performance.now() - started < 50);
      assert.equal((await getKey(store, formatJobKey(ID, 'request')))._unsafeUnwrap(), undefined);
    });
  });

  describe('readStatus', () => {
    it('is queued before any progress and cancelled after a cancel', async () => {
      await api.submit(ROUTE, JOB, CALL);
      assert.equal((await api.readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), 'queued');
      assert.equal((await api.cancel(ROUTE, ID, CALL))._unsafeUnwrap(), true);
      assert.equal((await api.readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), 'cancelled');
    });

    it('is undefined for a job that was never submitted or is of another queue', async () => {
      assert.equal((await api.readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), undefined);
      await api.submit(ROUTE, JOB, CALL);
      const other = {...ROUTE, id: 'other' as QueueId};
      assert.equal((await api.readStatus(other, ID, CALL))._unsafeUnwrap(), undefined);
      assert.equal((await api.cancel(other, ID, CALL))._unsafeUnwrap(), false);
    });

    it('ignores a progress record that can not be decoded', async () => {
      await api.submit(ROUTE, JOB, CALL);
      await put(store, formatJobKey(ID, 'progress'), Buffer.from('{'));
      assert.equal((await api.readStatus(ROUTE, ID, CALL))._unsafeUnwrap(), 'queued');
    });
  });

  describe('chooseRetryAfter', () => {
    it('returns the expected rest of an outage plus jitter', () => {
      assert.equal(chooseRetryAfter(0, 0), 2_500);
      assert.equal(chooseRetryAfter(3_000, 0), 1_000);
      assert.equal(chooseRetryAfter(3_000, 1), 2_000);
      assert.equal(chooseRetryAfter(60_000, 0), 500);
    });
  });
});
