/** A lasting task of a minion that leaves runs again in time, in each order of the minion's end and two kills of owners. */

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMachineList} from '../../EmulatedMachineList.ts';
import type {RecordedRun} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {createMinionDescription, waitFor} from './JobSamples.ts';
import {runForever, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a lasting task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds until the ownership of a killed VM is free. */
const OWNERSHIP_TTL_MS = 2_000;
/** Time in milliseconds from one event to the next. */
const GAP_MS = 600;
/** Time in milliseconds for which the entry of a minion is kept whose machine is gone. */
const ENTRY_KEPT_MS = 3_500;
const STEP_MS = 50;

/** `drain` and `leave`: the minion of the task. `kill`: the VM that owns the fleet. */
type OrderedEvent = 'drain' | 'kill' | 'leave';

const ORDERS: readonly (readonly OrderedEvent[])[] = [
  ['drain', 'leave', 'kill', 'kill'],
  ['drain', 'kill', 'leave', 'kill'],
  ['drain', 'kill', 'kill', 'leave'],
  ['kill', 'drain', 'leave', 'kill'],
  ['kill', 'drain', 'kill', 'leave'],
  ['kill', 'kill', 'drain', 'leave'],
];

const CASES = [
  {losesAnother: false, name: 'with room on another minion'},
  {
    losesAnother: true,
    name: 'with room after the last kill only, before which a minion is lost for good',
  },
];

describe('A lasting task of a minion that drains and leaves while two owners are killed', () => {
  let harness: TakeoverHarness;
  let machines: EmulatedMachineList;
  let minions: EmulatedMinion[];
  let owner: KillableOwner;
  let owners: number;
  let lostAt: number | undefined;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    machines = harness.addMachineList();
    minions = [harness.addMinion('m1')];
    owners = 0;
    lostAt = undefined;
    await startOwner();
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Adds a minion that has no room for the task. */
  function addFullMinion(): EmulatedMinion {
    const description = createMinionDescription('full', {
      capacity: {cpuMilli: 500, gpus: 0, memoryMb: 4_000},
      machine: brand('machine of full'),
    });
    const minion = new EmulatedMinion(description, runForever);
    harness.fleet.add(minion);
    return minion;
  }

  async function startOwner(): Promise<void> {
    owners += 1;
    owner = await harness.startKillable(`vm-${owners}`);
  }

  /** Removes the entry of the minion that is lost once it has expired. */
  function expireEntry(): void {
    if (lostAt !== undefined && harness.clock.monotonic() - lostAt >= ENTRY_KEPT_MS) {
      harness.fleet.remove(findMinion('full').description.id);
      lostAt = undefined;
    }
  }

  async function pass(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
      await harness.passTime(owner.started.ownership, STEP_MS, STEP_MS, STEP_MS);
      expireEntry();
    }
  }

  function findMinion(name: string): EmulatedMinion {
    const minion = minions.find(({description}) => description.id === name);
    assert.ok(minion, name);
    return minion;
  }

  function loseForGood(minion: EmulatedMinion): void {
    const {id} = minion.description;
    minion.crash(Infinity, harness.clock.monotonic());
    machines.gone.add(id);
    lostAt = harness.clock.monotonic();
  }

  const handlers: Readonly<Record<OrderedEvent, () => Promise<void>>> = {
    drain: () => {
      const minion = findMinion('m1');
      minion.description = {...minion.description, isDraining: true};
      harness.fleet.add(minion);
      return Promise.resolve();
    },
    kill: async () => {
      await owner.kill(OWNERSHIP_TTL_MS);
      await startOwner();
    },
    leave: () => {
      const minion = findMinion('m1');
      minion.crash(Infinity, harness.clock.monotonic());
      harness.fleet.remove(minion.description.id);
      return Promise.resolve();
    },
  };

  function listRuns(): RecordedRun[] {
    return minions.flatMap(({records}) => records).sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  const isRunning = (): boolean =>
    minions.some(
      (minion) => !minion.isDown(harness.clock.monotonic()) && minion.liveTasks.length > 0,
    );

  for (const {losesAnother, name} of CASES) {
    describe(name, () => {
      for (const order of ORDERS) {
        it(`runs again within 9 s, and never twice at once: ${order.join(', ')}`, async () => {
          await harness.runLastingTask(findMinion('m1'));
          minions.push(losesAnother ? addFullMinion() : harness.addMinion('m2'));
          await waitFor('the others have reported', () =>
            minions.every(({answeredPolls}) => answeredPolls > 2),
          );
          const lastKill = order.lastIndexOf('kill');
          for (const [index, event] of order.entries()) {
            await pass(GAP_MS);
            if (losesAnother && index === lastKill) {
              loseForGood(findMinion('full'));
            }
            await handlers[event]();
            if (losesAnother && index === lastKill) {
              minions.push(harness.addMinion('m2'));
            }
          }
          for (
            let waitedMs = 0;
            waitedMs < RESTART_DEADLINE_MS && !isRunning();
            waitedMs += GAP_MS
          ) {
            await pass(GAP_MS);
          }
          assert.ok(isRunning(), 'the task does not run');
          const runs = listRuns();
          for (const [index, {startedAtMs}] of runs.entries()) {
            const former = runs[index - 1];
            const idleMs = startedAtMs - (former?.endedAtMs ?? startedAtMs);
            assert.ok(former === undefined || former.endedAtMs !== undefined, 'two runs at once');
            assert.ok(idleMs >= 0, `run ${index} began ${-idleMs} ms before the end of the former`);
            assert.ok(idleMs <= RESTART_DEADLINE_MS, `idle for ${idleMs} ms`);
          }
        });
      }
    });
  }
});
