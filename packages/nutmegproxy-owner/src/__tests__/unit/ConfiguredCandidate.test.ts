import type {VmId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import type {Owner} from '../../Owner.ts';

import {OwnerCandidate} from '../../OwnerCandidate.ts';
import {chooseTakeoverDelayMs} from '../../OwnerPreference.ts';

const CORES = 1;
const STEP_MS = 10;
/** Longest time in milliseconds from the configuration to the acquisition, beside the delay that lets larger VMs go first. */
const MAX_ADDED_MS = 100;
/** When the configuration arrives, in milliseconds after the start. */
const ARRIVALS_MS = [20, 310, 590, 1_010];

describe('A VM that can own the fleet once its configuration arrives', () => {
  let clock: ManualClock;
  let store: MemoryStore;

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore(clock);
    mock.timers.enable({apis: ['setTimeout']});
  });

  afterEach(async () => {
    mock.timers.reset();
    await store.close();
  });

  async function step(): Promise<void> {
    clock.advance(STEP_MS);
    mock.timers.tick(STEP_MS);
    for (let turn = 0; turn < 5; turn += 1) {
      await new Promise(setImmediate);
    }
  }

  for (const arrivalMs of ARRIVALS_MS) {
    it(`acquires a free ownership soon after that, ${arrivalMs} ms after its start`, async () => {
      const acquiredAt: number[] = [];
      let elapsedMs = 0;
      const run = (): Promise<string> => new Promise(() => undefined);
      const owner = {run, stop: () => undefined} as Partial<Owner> as Owner;
      const candidate = new OwnerCandidate({
        canOwn: () => elapsedMs >= arrivalMs,
        clock,
        createOwner: () => {
          acquiredAt.push(elapsedMs);
          return owner;
        },
        events: SILENT_EVENTS,
        leaseTimes: DEFAULT_LEASE_TIMES,
        otherCores: () => [],
        ownCores: CORES,
        random: () => 0,
        store,
        vm: brand<VmId>('vm-1'),
      });
      void candidate.run();
      const latestMs = arrivalMs + chooseTakeoverDelayMs(CORES, []) + MAX_ADDED_MS;
      while (acquiredAt.length === 0 && elapsedMs <= latestMs) {
        elapsedMs += STEP_MS;
        await step();
      }
      assert.equal(acquiredAt.length, 1, `not acquired ${elapsedMs} ms after the start`);
      assert.ok(elapsedMs >= arrivalMs + chooseTakeoverDelayMs(CORES, []));
      void candidate.stop();
    });
  }
});
