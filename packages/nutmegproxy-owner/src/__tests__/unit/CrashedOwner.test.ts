import {ManualClock} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import {OWNER_KEY} from '../../OwnerElection.ts';
import {createElection} from './OwnerSamples.ts';

const STEP_MS = 10;
/** What the platform's users see of a store that loses responses: a share, and the longest lateness. */
const LATE_SHARE = 0.35;
const MAX_LATENESS_MS = 6_000;
const OWNED_MS = 10_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

describe('The ownership of an owner that has crashed', () => {
  let clock: ManualClock;
  let store: MemoryStore;

  async function advance(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
      clock.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      await new Promise(setImmediate);
    }
  }

  function isOwned(): boolean {
    store.engine.expire(clock.monotonic());
    return store.engine.values().some(({key}) => key === OWNER_KEY);
  }

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore(clock);
    mock.timers.enable({apis: ['setTimeout']});
  });

  afterEach(async () => {
    mock.timers.reset();
    await store.close();
  });

  for (const seed of SEEDS) {
    it(`is free once the last late renewal has expired, with seed ${String(seed)}`, async () => {
      const election = createElection({clock, store}, 'vm-1');
      const ownership = (await election.acquire())._unsafeUnwrap();
      store.faults.change({lateShare: LATE_SHARE, seed});
      void election.renew(ownership);
      await advance(OWNED_MS);
      assert.equal(isOwned(), true);
      // Nothing more is sent; what was sent is carried out.
      ownership.end();
      const crashedAt = clock.monotonic();
      while (isOwned()) {
        await advance(STEP_MS);
      }
      const ownedMs = clock.monotonic() - crashedAt;
      assert.ok(
        ownedMs <= MAX_LATENESS_MS + DEFAULT_LEASE_TIMES.ownershipTtlMs,
        `${String(ownedMs)} ms`,
      );
    });
  }
});
