import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {deriveLeaseTimes} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds from the last renewal of the ownership that is answered to the first one after an outage of 6 s. */
const UNCONFIRMED_MS = 6_600;
/** Longest time in milliseconds between two renewals of a minion's lease: the longest poll and the longest delay. */
const RENEWAL_INTERVAL_MS = 2_400;
/** Time in milliseconds before the ownership is confirmed again at which the minion's lease was renewed last. */
const LAST_RENEWAL_BEFORE_MS = 800;
const SETTLED_MS = 300;

describe('Running work of a minion in a store outage of 6 s', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets time pass in which no poll begins. */
  async function passUnpolled(milliseconds: number): Promise<void> {
    harness.clock.advance(milliseconds);
    await sleep(SETTLED_MS);
  }

  for (const maxMinionLeaseMs of [10_000, 6_000]) {
    it(`does not expire while its owner is in touch, on a minion that accepts ${maxMinionLeaseMs} ms`, async () => {
      harness.leaseTimes = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
      const minion: EmulatedMinion = harness.addMinion('m1', undefined, {maxMinionLeaseMs});
      const {ownership} = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
      const polledMs = UNCONFIRMED_MS - LAST_RENEWAL_BEFORE_MS;
      await passUnpolled(polledMs - 2 * RENEWAL_INTERVAL_MS);
      await passUnpolled(RENEWAL_INTERVAL_MS);
      await passUnpolled(RENEWAL_INTERVAL_MS);
      harness.clock.advance(LAST_RENEWAL_BEFORE_MS);
      ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
      await passUnpolled(RENEWAL_INTERVAL_MS - LAST_RENEWAL_BEFORE_MS);
      assert.deepEqual(
        minion.records.map(({outcome}) => outcome),
        [undefined],
      );
    });
  }
});
