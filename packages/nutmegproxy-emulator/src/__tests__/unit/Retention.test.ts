import type {FleetOwnership} from '@nutmegproxy/owner';
import type {Transaction} from '@nutmegproxy/store';

import {ManualClock} from '@nutmegproxy/core';
import {encodePlace, FIRST_CELL, formatJobKey, formatPlaceKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, getPrefix, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

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
import {createFailingStore} from './StoreSamples.ts';

/** Most conditions and operations of one write. */
const MAX_STORE_ENTRIES = 32;

/** Real time in milliseconds between two steps of the clock, and how far it goes: the retention time passes in a second. */
const STEP_PAUSE_MS = 10;
const STEP_MS = 400;

/** Lets time pass only as the ownership is confirmed, so that a process that gets no turn does not end it. */
function passTime(clock: ManualClock, ownership: FleetOwnership): NodeJS.Timeout {
  return setInterval(() => {
    clock.advance(STEP_MS);
    ownership.confirm(clock.monotonic(), clock.wall());
  }, STEP_PAUSE_MS);
}

/** Creates a store whose clock stands still, so that the lease of the ownership does not expire, which nobody renews. */
function createStore(): MemoryStore {
  return new MemoryStore(new ManualClock());
}

describe('Retention', () => {
  it('removes an ended job after its retention time, and no other', async () => {
    const clock = new ManualClock(Date.now());
    const store = createStore();
    const fleet = new EmulatedFleet(clock);
    fleet.add(
      new EmulatedMinion(createMinionDescription('m1'), ({job}) => ({
        durationMs: job.endsWith('1') ? 100 : Infinity,
        outcome: 'done',
      })),
    );
    const {owner, ownership} = await startOwner(clock, store, fleet);
    const passing = passTime(clock, ownership);
    const ended = createStoredJob(1, [createStepShape()]);
    const lasting = createStoredJob(2, [createStepShape({longRunning: true})]);
    await submitJob(store, ended);
    await submitJob(store, lasting);
    let isGone = false;
    const poll = setInterval(() => {
      void getKey(store, formatJobKey(ended.id, 'request')).then((found) => {
        isGone ||= found.isOk() && found.value === undefined;
      });
    }, 20);
    await waitFor('the ended job is removed', () => isGone);
    assert.ok((await getKey(store, formatJobKey(lasting.id, 'request')))._unsafeUnwrap());
    assert.equal(
      (await getKey(store, formatJobKey(ended.id, 'progress')))._unsafeUnwrap(),
      undefined,
    );
    clearInterval(poll);
    clearInterval(passing);
    owner.stop('end of test');
    await store.close();
  });

  it('removes the places of ended jobs with them, and within the size of a write', async () => {
    const clock = new ManualClock(Date.now());
    const store = createStore();
    const sizes: number[] = [];
    const view = createFailingStore(store, ([call]) => {
      const {compare, then} = (call ?? {}) as Partial<Transaction>;
      if (then?.some(({kind}) => kind === 'delete') === true) {
        sizes.push(then.length + (compare?.length ?? 0));
      }
      return false;
    });
    const fleet = new EmulatedFleet(clock);
    fleet.add(
      new EmulatedMinion(createMinionDescription('m1'), ({job}) => ({
        durationMs: job.endsWith('0') ? Infinity : 100,
        outcome: 'done',
      })),
    );
    const {owner, ownership} = await startOwner(clock, view, fleet);
    const passing = passTime(clock, ownership);
    const lasting = createStoredJob(0, [createStepShape({longRunning: true})]);
    const ended = Array.from({length: 12}, (_, number) =>
      createStoredJob(number + 1, [createStepShape()]),
    );
    for (const job of [lasting, ...ended]) {
      await submitJob(store, {...job, isPlaced: true});
      (await put(store, formatPlaceKey(job.id), encodePlace(FIRST_CELL)))._unsafeUnwrap();
    }
    let left: readonly string[] | undefined;
    const poll = setInterval(() => {
      void getPrefix(store, 'nutmegproxy/place/').then((read) => {
        left = read.map(({values}) => values.map(({key}) => key)).unwrapOr(left);
      });
    }, 20);
    await waitFor('the places are removed', () => left?.length === 1);
    assert.deepEqual(left, [formatPlaceKey(lasting.id)]);
    const requests = (await getPrefix(store, 'nutmegproxy/fleet/jobs/'))._unsafeUnwrap().values;
    assert.deepEqual(
      requests.map(({key}) => key),
      [formatJobKey(lasting.id, 'request')],
      'no place is removed before its job',
    );
    assert.ok(sizes.length > 1 && Math.max(...sizes) <= MAX_STORE_ENTRIES);
    clearInterval(poll);
    clearInterval(passing);
    owner.stop('end of test');
    await store.close();
  });
});
