/** A part of a fleet, which may be a cell, is full of lasting tasks and loses a minion while the rest has room. */

import type {CellIndex} from '@nutmegproxy/jobs';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {encodeRecord, findMinionCell, FIRST_CELL, formatJobKey, listCells} from '@nutmegproxy/jobs';
import {CellDirectory, OwnerElection} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createOwner,
  createStepShape,
  createStoredJob,
} from './JobSamples.ts';

/** Minions of each of two cells, and tasks of three of their four cores each. */
const MINIONS_PER_CELL = 3;
const TASKS = 3;
const LASTING = createStepShape({
  count: TASKS,
  longRunning: true,
  resources: {cpuMilli: 3_000, gpus: 0, memoryMb: 100},
});
/** Time in milliseconds after its last run within which a lasting task has to run again where there is room. */
const RESTART_DEADLINE_MS = 9_000;
const DRAIN_MS = 3_000;
const START_MS = 3_000;
const STEP_MS = 50;
const RENEWAL_MS = 20;

/** Returns ids of as many minions of a cell, of two. */
function nameMinions(cell: CellIndex): string[] {
  const names: string[] = [];
  for (let number = 0; names.length < MINIONS_PER_CELL; number += 1) {
    const name = `m${number}`;
    if (findMinionCell(brand(name), 2) === cell) {
      names.push(name);
    }
  }
  return names;
}

for (const cells of [1, 2]) {
  describe(`A lasting task whose minion leaves while others have room, in a fleet with cells: ${cells}`, () => {
    let clock: ManualClock;
    let fleet: EmulatedFleet;
    let minions: EmulatedMinion[];
    let stops: (() => void)[];
    let store: MemoryStore;

    beforeEach(async () => {
      clock = new ManualClock(Date.now());
      fleet = new EmulatedFleet(clock);
      stops = [];
      store = new MemoryStore();
      // Those of the second cell come last, so that the only owner of one cell has the same minions.
      minions = listCells(2)
        .flatMap(nameMinions)
        .map((name) => {
          const description = createMinionDescription(name);
          return new EmulatedMinion(description, () => ({durationMs: Infinity, outcome: 'done'}));
        });
      for (const minion of minions) {
        fleet.add(minion);
      }
      for (const cell of listCells(cells)) {
        await start(cell);
      }
    });

    afterEach(async () => {
      for (const stop of stops) {
        stop();
      }
      await store.close();
    });

    async function start(cell: CellIndex): Promise<void> {
      const vm = brand<never>(`vm-${cell}`);
      const count = {cells, hasPlaces: true, revision: 0};
      const events = SILENT_EVENTS;
      const leaseTimes = DEFAULT_LEASE_TIMES;
      const election = new OwnerElection({cell, clock, count, events, leaseTimes, store, vm});
      const ownership = (await election.acquire())._unsafeUnwrap();
      const directory = new CellDirectory({cell, cells, directory: fleet});
      const owner = createOwner({clock, events, ownership, store}, fleet, directory);
      const renewal = setInterval(() => {
        void store.keepLeaseAlive(ownership.lease);
        ownership.confirm(clock.monotonic(), clock.wall());
      }, RENEWAL_MS);
      void owner.run();
      stops.push(() => {
        clearInterval(renewal);
        owner.stop('end of test');
      });
    }

    async function pass(milliseconds: number): Promise<void> {
      for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await new Promise((resolve) => setTimeout(resolve, RENEWAL_MS));
      }
    }

    function listRunning(): string[] {
      const now = clock.monotonic();
      return minions
        .filter((minion) => !minion.isDown(now))
        .flatMap(({liveTasks}) => liveTasks)
        .sort();
    }

    it('runs again where there is room', async () => {
      const job = createStoredJob(1, [LASTING]);
      const written = await put(
        store,
        formatJobKey(job.id, 'request', FIRST_CELL),
        encodeRecord(job),
      );
      written._unsafeUnwrap();
      await pass(START_MS);
      const before = listRunning();
      assert.equal(before.length, TASKS);
      const left = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(left);
      left.description = {...left.description, isDraining: true};
      fleet.add(left);
      await pass(DRAIN_MS);
      left.crash(Infinity, clock.monotonic());
      fleet.remove(left.description.id);
      await pass(RESTART_DEADLINE_MS - DRAIN_MS);
      assert.deepEqual(listRunning(), before);
    });
  });
}
