import type {EventKind, MinionId} from '@nutmegproxy/core';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecordedRun} from '../../EmulatedMinion.ts';
import type {StartedOwner} from './TakeoverHarness.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

const ODD = 'odd' as MinionId;

/** Throws at each order for one minion, as a client does that can't build a URL from its address. */
class ThrowingFleet extends EmulatedFleet {
  override poll(...args: Parameters<EmulatedFleet['poll']>): ReturnType<EmulatedFleet['poll']> {
    if (args[0].id === ODD) {
      throw new TypeError('Invalid URL');
    }
    return super.poll(...args);
  }
}

describe('An owner whose fleet has an odd minion', () => {
  let codes: number[];
  let fleet: ThrowingFleet;
  let minion: EmulatedMinion;
  let stop: () => void;
  let store: MemoryStore;

  async function runJob(): Promise<void> {
    const events = {record: ({code}: {code: number}) => codes.push(code)};
    const {owner} = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-1', events);
    stop = () => {
      owner.stop('end of test');
    };
    await submitJob(store, createStoredJob(1, [createStepShape({count: 3})]));
    await waitFor('the tasks have run', () => minion.records.length === 3);
  }

  beforeEach(() => {
    codes = [];
    fleet = new ThrowingFleet(SYSTEM_CLOCK);
    minion = new EmulatedMinion(createMinionDescription('m1'), () => ({
      durationMs: 5,
      outcome: 'done',
    }));
    fleet.add(minion);
    store = new MemoryStore();
  });

  afterEach(async () => {
    stop();
    await store.close();
  });

  it('goes on with the others when orders for it throw', async () => {
    fleet.add(new EmulatedMinion(createMinionDescription(ODD), () => assert.fail('a run')));
    await runJob();
    assert.ok(codes.includes(OWNER_EVENTS.SESSION_FAILED.code));
  });

  it('does not take it from the stored roster of a former owner', async () => {
    const entries = ['m1:99999', 'm1:1/x'].map((address) => ({
      description: createMinionDescription(ODD, {address}),
    }));
    const value = Buffer.from(JSON.stringify(entries));
    assert.ok((await put(store, `${STATE_PREFIX}roster`, value)).isOk());
    await runJob();
    assert.ok(codes.includes(OWNER_EVENTS.RECORD_MALFORMED.code));
  });

  it('goes on when the stored roster is not JSON', async () => {
    assert.ok((await put(store, `${STATE_PREFIX}roster`, Buffer.from('[{'))).isOk());
    await runJob();
    assert.ok(codes.includes(OWNER_EVENTS.RECORD_MALFORMED.code));
  });
});

describe('An entry with a later start time than the minion responds with', () => {
  const BORN_LATER = 2;
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;
  let other: EmulatedMinion;
  let started: StartedOwner;

  /** Starts a lasting task on the first minion; a second one has room for it. */
  beforeEach(async () => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
    started = await harness.start('vm-1');
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    const {answeredPolls} = minion;
    await waitFor('the task is listed', () => minion.answeredPolls > answeredPolls + 2);
    other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 2);
  });

  afterEach(async () => {
    await harness.close();
  });

  function countEvents(kind: EventKind): number {
    return harness.events.filter((each) => each === kind).length;
  }

  /** Writes an entry that differs from the minion's own in its start time only. */
  function writeOddEntry(): void {
    const {description} = minion;
    minion.description = {...description, bornAt: BORN_LATER};
    harness.fleet.add(minion);
    minion.description = description;
  }

  it('ends no run on it', async () => {
    writeOddEntry();
    const {answeredPolls} = minion;
    await waitFor('it has responded', () => minion.answeredPolls > answeredPolls + 3);
    await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
    const listRuns = (): RecordedRun[] => [...minion.records, ...other.records];
    await waitFor('a later task runs', () =>
      listRuns().some(({task}) => task.startsWith(createStoredJob(2, []).id)),
    );
    const [first, second, ...more] = listRuns().sort((a, b) => a.task.localeCompare(b.task));
    assert.deepEqual([first?.outcome, second?.outcome, more], [undefined, undefined, []]);
    assert.equal(countEvents(OWNER_EVENTS.MINION_RESTARTED), 0);
    assert.equal(countEvents(OWNER_EVENTS.RESTART_DENIED), 1);
  });

  it('does not keep its lease from being renewed, however often it is written', async () => {
    for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 500) {
      writeOddEntry();
      await harness.passTime(started.ownership, 500, 500, 40);
    }
    minion.advance(harness.clock.monotonic());
    assert.equal(minion.liveTasks.length, 1);
    assert.equal(other.records.length, 0);
  });

  it('ends the runs of a minion that has restarted, and responds', async () => {
    minion.restart(BORN_LATER, harness.clock.monotonic());
    harness.fleet.add(minion);
    await waitFor('the task runs again', () => minion.records.length + other.records.length === 2);
    assert.equal(countEvents(OWNER_EVENTS.MINION_RESTARTED), 1);
    assert.equal(countEvents(OWNER_EVENTS.RESTART_DENIED), 0);
  });

  it('ends the runs of a minion that has restarted, and can not be reached', async () => {
    harness.fleet.faults(minion.description.id).isUnreachable = true;
    minion.restart(BORN_LATER, harness.clock.monotonic());
    harness.fleet.add(minion);
    // No time passes, so that the lease of the first run has not expired.
    await waitFor('the task runs again', () => other.liveTasks.length === 1);
    assert.equal(countEvents(OWNER_EVENTS.MINION_RESTARTED), 1);
  });

  it('ends the runs of a minion that has restarted, and rejects calls', async () => {
    harness.fleet.faults(minion.description.id).rejection = {
      clockMs: undefined,
      kind: 'unhealthy',
      message: 'status 503',
    };
    minion.restart(BORN_LATER, harness.clock.monotonic());
    harness.fleet.add(minion);
    await waitFor('the task runs again', () => other.liveTasks.length === 1);
    assert.equal(countEvents(OWNER_EVENTS.MINION_RESTARTED), 1);
  });
});
