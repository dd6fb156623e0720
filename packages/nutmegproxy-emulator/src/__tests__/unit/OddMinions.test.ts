import type {MinionId} from '@nutmegproxy/core';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

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
