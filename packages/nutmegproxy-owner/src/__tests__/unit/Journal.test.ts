import type {JobId, WallTime} from '@nutmegproxy/core';
import type {QueueId, ServiceId} from '@nutmegproxy/jobs';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {formatJobKey, JobState} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {after, afterEach, beforeEach, describe, it} from 'node:test';

import {Journal} from '../../Journal.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';
import {acquireOwnership, delayNextWrite, waitForStore} from './OwnerSamples.ts';

function createJob(): JobState {
  return new JobState(
    {
      acceptedAt: 0 as WallTime,
      id: brand<JobId>('00000000000000a1'),
      payload: '',
      queue: 'queue' as QueueId,
      recurrence: undefined,
      service: 'service' as ServiceId,
      steps: [],
    },
    1,
  );
}

describe('Journal', () => {
  // The journal's timers don't keep the process alive, so this one does.
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });

  const dirtyJobs = new Set<JobState>();
  let fenced: number;
  let journal: Journal;
  let store: MemoryStore;

  beforeEach(async () => {
    dirtyJobs.clear();
    fenced = 0;
    store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    const onFenced = (): void => {
      fenced += 1;
    };
    journal = new Journal({dirtyJobs, events: SILENT_EVENTS, onFenced, ownership, store});
    void journal.run();
  });

  afterEach(() => {
    journal.stop();
  });

  it('is not clean while a write is in flight', async () => {
    store.faults.change({delayMs: 50});
    dirtyJobs.add(createJob());
    journal.wake();
    // The journal removes the job from the set when it begins to write.
    while (dirtyJobs.size > 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.equal(journal.isClean, false);
    await journal.flush();
    assert.equal(journal.isClean, true);
  });

  it('retries a failed write', async () => {
    store.faults.change({down: true});
    dirtyJobs.add(createJob());
    let isFlushed = false;
    void journal.flush().then(() => {
      isFlushed = true;
    });
    await waitForStore();
    assert.equal(isFlushed, false);
    store.faults.change({down: false});
    await journal.flush();
    assert.equal(dirtyJobs.size, 0);
  });

  it('reports that another owner has taken over and writes nothing', async () => {
    await put(store, OWNER_KEY, Buffer.from('another'));
    dirtyJobs.add(createJob());
    journal.wake();
    while (fenced === 0) {
      await waitForStore();
    }
    assert.equal(dirtyJobs.size, 1);
  });

  it('does not let a delayed write replace newer progress', async () => {
    const job = createJob();
    const late = delayNextWrite(store);
    dirtyJobs.add(job);
    journal.wake();
    while (late.length === 0) {
      await waitForStore();
    }
    job.status = 'completed';
    await journal.flush();
    await late[0]?.arrive();
    const stored = (await getKey(store, formatJobKey(job.id, 'progress')))._unsafeUnwrap();
    assert.match(stored?.value.toString() ?? '', /"status":"completed"/);
  });
});
