import type {EventFields, EventKind, JobId} from '@nutmegproxy/core';
import type {StoredJob} from '@nutmegproxy/jobs';

import {ManualClock, WorkQueue} from '@nutmegproxy/core';
import {encodeRecord, formatJobKey} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {CancellationMarks} from '../../CancellationMarks.ts';
import {FleetOwnership} from '../../FleetOwnership.ts';
import {JobWatcher} from '../../JobWatcher.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {acquireOwnership, createStep, waitForStore} from './OwnerSamples.ts';

/** Jobs that a former owner left; more than two log lines name. */
const FORMER_JOBS = 200;
/** Size of a write to a pipe that is never split, less the other parts of a log line, in bytes. */
const MAX_NAMED_BYTES = 3_584;

interface NamedJob {
  readonly id: string;
  readonly revision: number;
  readonly status: string;
}

describe('the jobs that an owner receives', () => {
  const clock = new ManualClock();
  let breakWatch: () => void;
  let fleet: Fleet;
  let isFenced: boolean;
  let marks: CancellationMarks;
  let ownership: FleetOwnership;
  let recorded: {fields: EventFields; kind: EventKind}[];
  let reportBreak: () => void;
  let store: MemoryStore;
  let turnLimitMs: number;
  let turns: (() => void)[];
  let watcher: JobWatcher;

  function find(kind: EventKind): EventFields[] {
    return recorded.filter((event) => event.kind === kind).map(({fields}) => fields);
  }

  function createJob(number: number): StoredJob {
    return {...createStep(number).job.request, acceptedAt: clock.wall()};
  }

  /** Stores a job and returns the revision of its record. */
  async function submit(number: number): Promise<number> {
    const job = createJob(number);
    const written = await put(store, formatJobKey(job.id, 'request'), encodeRecord(job));
    return written._unsafeUnwrap();
  }

  async function cancel(id: JobId): Promise<void> {
    (await put(store, formatJobKey(id, 'cancel'), Buffer.from('request-1')))._unsafeUnwrap();
  }

  async function saveStatus(id: JobId, status: 'completed' | 'running'): Promise<void> {
    const progress = {queue: createJob(1).queue, status, steps: {}};
    await put(store, formatJobKey(id, 'progress'), encodeRecord(progress));
  }

  /** Returns the jobs that events name, in their order. */
  function listNamedJobs(): NamedJob[] {
    return find(OWNER_EVENTS.JOBS_READ).flatMap(({named}) =>
      String(named)
        .split(' ')
        .map((name) => {
          const [id = '', status = '', revision] = name.split('/');
          return {id, revision: Number(revision), status};
        }),
    );
  }

  const events = {
    record: (kind: EventKind, fields: EventFields) => {
      recorded.push({fields, kind});
    },
  };

  function createWatcher(): JobWatcher {
    return new JobWatcher({
      clock,
      events,
      fleet,
      marks,
      onChange: () => undefined,
      onFenced: () => {
        isFenced = true;
      },
      ownership,
      store,
      work: new WorkQueue({
        clock,
        get maxTurnMs() {
          return turnLimitMs;
        },
        schedule: (callback) => turns.push(callback),
      }),
    });
  }

  beforeEach(async () => {
    isFenced = false;
    recorded = [];
    turnLimitMs = Infinity;
    turns = [];
    store = new MemoryStore(clock);
    fleet = new Fleet(events);
    marks = new CancellationMarks();
    const watch = store.watch.bind(store);
    store.watch = (prefix, fromRevision, handler) => {
      const opened = watch(prefix, fromRevision, handler);
      breakWatch = () => {
        opened.close();
      };
      reportBreak = () => {
        handler.onBroken({kind: 'unavailable', message: 'the watch broke'});
      };
      return opened;
    };
    ownership = await acquireOwnership(store);
    watcher = createWatcher();
  });

  afterEach(async () => {
    watcher.close();
    await store.close();
  });

  it('at the start of its term are named several to an event, each once with its status and revision', async () => {
    const expected: NamedJob[] = [];
    for (let number = 1; number <= FORMER_JOBS; number += 1) {
      const {id} = createJob(number);
      expected.push({id, revision: await submit(number), status: 'queued'});
    }
    const [ended, running] = expected;
    assert.ok(ended && running);
    await saveStatus(ended.id as JobId, 'completed');
    await saveStatus(running.id as JobId, 'running');
    (await watcher.start())._unsafeUnwrap();
    assert.deepEqual(listNamedJobs(), [
      {...ended, status: 'completed'},
      {...running, status: 'running'},
      ...expected.slice(2),
    ]);
    const events = find(OWNER_EVENTS.JOBS_READ);
    assert.equal(events.length, 3);
    assert.ok(events.every(({named}) => String(named).length <= MAX_NAMED_BYTES));
    assert.ok(events.every(({fence}) => fence === ownership.token));
    assert.equal(
      events.reduce((sum, {jobs}) => sum + Number(jobs), 0),
      FORMER_JOBS,
    );
    assert.deepEqual(find(OWNER_EVENTS.JOB_DISCOVERED), []);
  });

  it('later are recorded one to an event, with all fields', async () => {
    (await watcher.start())._unsafeUnwrap();
    const revision = await submit(1);
    await waitForStore();
    assert.deepEqual(find(OWNER_EVENTS.JOB_DISCOVERED), [
      {
        acceptedAgoMs: 0,
        job: createJob(1).id,
        queue: 'proofs',
        revision,
        status: 'queued',
        steps: 1,
      },
    ]);
    assert.deepEqual(find(OWNER_EVENTS.JOBS_READ), []);
  });

  it('while its watch is broken are named once it has read all jobs again, without those before', async () => {
    await submit(1);
    (await watcher.start())._unsafeUnwrap();
    recorded = [];
    breakWatch();
    const revision = await submit(2);
    reportBreak();
    await waitForStore();
    assert.deepEqual(listNamedJobs(), [{id: createJob(2).id, revision, status: 'queued'}]);
    assert.deepEqual(find(OWNER_EVENTS.JOB_DISCOVERED), []);
  });

  // Guards against waits that begin anew with each owner.
  it('at the start of its term have waited since this process knew that they were stored as they are', async () => {
    const {revisions} = ownership;
    const first = await submit(1);
    revisions.record(first, clock.monotonic());
    const storedAt = clock.monotonic();
    const changed = await submit(2);
    revisions.record(changed, clock.monotonic());
    clock.advance(2_000);
    await saveStatus(createJob(2).id, 'running');
    revisions.record(changed + 1, clock.monotonic());
    const changedAt = clock.monotonic();
    clock.advance(3_000);
    // The next owner is another process that has watched the store meanwhile.
    ownership = new FleetOwnership(
      {
        lease: ownership.lease,
        leaseTimes: ownership.leaseTimes,
        revisions,
        term: 1,
        token: (await put(store, OWNER_KEY, Buffer.from('vm-2')))._unsafeUnwrap() as OwnershipToken,
      },
      clock.monotonic(),
      clock.wall(),
    );
    watcher = createWatcher();
    (await watcher.start())._unsafeUnwrap();
    await submit(3);
    await waitForStore();
    assert.equal(fleet.jobs.get(createJob(1).id)?.heldSince, storedAt);
    assert.equal(fleet.jobs.get(createJob(2).id)?.heldSince, changedAt);
    assert.equal(fleet.jobs.get(createJob(3).id)?.heldSince, undefined);
  });

  // Guards against a job that runs for good, as a VM of an earlier version stores it after its cancellation.
  for (const isKnownAtStart of [true, false]) {
    it(`never run when they were cancelled ${isKnownAtStart ? 'in a term before' : 'in its term'}, before they were stored`, async () => {
      const {id} = createJob(1);
      const start = async (): Promise<void> => {
        (await watcher.start())._unsafeUnwrap();
      };
      await (isKnownAtStart ? cancel(id) : start());
      await (isKnownAtStart ? start() : cancel(id));
      await waitForStore();
      assert.ok(marks.has(id));
      await submit(1);
      await submit(2);
      await waitForStore();
      assert.equal(fleet.jobs.get(id)?.status, 'cancelled');
      assert.equal(fleet.jobs.get(createJob(2).id)?.status, 'queued');
      assert.equal(marks.has(id), false);
    });
  }

  it('do not delay the end of its term: another owner is seen before them', async () => {
    (await watcher.start())._unsafeUnwrap();
    turnLimitMs = 0;
    for (let number = 1; number <= 10; number += 1) {
      await submit(number);
    }
    (await put(store, OWNER_KEY, Buffer.from('other')))._unsafeUnwrap();
    await waitForStore();
    assert.equal(isFenced, true);
  });
});
