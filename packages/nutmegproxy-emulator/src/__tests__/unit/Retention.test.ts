import {formatJobKey} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createFastClock,
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';

describe('Retention', () => {
  it('removes an ended job after its retention time, and no other', async () => {
    // The clock runs 40 times as fast as time, so that the retention time passes in a second.
    const clock = createFastClock(40);
    const store = new MemoryStore();
    const fleet = new EmulatedFleet(clock);
    fleet.add(
      new EmulatedMinion(createMinionDescription('m1'), ({job}) => ({
        durationMs: job.endsWith('1') ? 100 : Infinity,
        outcome: 'done',
      })),
    );
    const {owner, ownership} = await startOwner(clock, store, fleet);
    const renewal = setInterval(() => {
      ownership.confirm(clock.monotonic(), clock.wall());
    }, 10);
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
    clearInterval(renewal);
    owner.stop('end of test');
    await store.close();
  });
});
