/** A lasting task of a minion that leaves runs again in time, in each order of the minion's end and two kills of owners. */

import {brand} from '@nutmegproxy/core';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {createMinionDescription, waitFor} from './JobSamples.ts';
import {GAP_MS, LastingTaskScenario, OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {runForever} from './TakeoverHarness.ts';

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
  let leaving: EmulatedMinion;
  let scenario: LastingTaskScenario;

  beforeEach(async () => {
    scenario = new LastingTaskScenario();
    scenario.harness.addMachineList();
    leaving = scenario.addMinion('m1');
    await scenario.startOwner();
  });

  afterEach(async () => {
    await scenario.harness.close();
  });

  /** Adds a minion that has no room for the task. */
  function addFullMinion(): EmulatedMinion {
    const description = createMinionDescription('full', {
      capacity: {cpuMilli: 500, gpus: 0, memoryMb: 4_000},
      machine: brand('machine of full'),
    });
    const minion = new EmulatedMinion(description, runForever);
    scenario.harness.fleet.add(minion);
    scenario.minions.push(minion);
    return minion;
  }

  const handlers: Readonly<Record<OrderedEvent, () => Promise<void>>> = {
    drain: () => {
      scenario.drain(leaving);
      return Promise.resolve();
    },
    kill: async () => {
      await scenario.killOwner(OWNERSHIP_TTL_MS);
      await scenario.startOwner();
    },
    leave: () => {
      scenario.leave(leaving);
      return Promise.resolve();
    },
  };

  for (const {losesAnother, name} of CASES) {
    describe(name, () => {
      for (const order of ORDERS) {
        it(`runs again within 9 s, and never twice at once: ${order.join(', ')}`, async () => {
          await scenario.harness.runLastingTask(leaving);
          const other = losesAnother ? addFullMinion() : scenario.addMinion('m2');
          await waitFor('the others have reported', () =>
            scenario.minions.every(({answeredPolls}) => answeredPolls > 2),
          );
          const lastKill = order.lastIndexOf('kill');
          for (const [index, event] of order.entries()) {
            await scenario.pass(GAP_MS);
            if (losesAnother && index === lastKill) {
              scenario.loseForGood(other);
            }
            await handlers[event]();
            if (losesAnother && index === lastKill) {
              scenario.addMinion('m2');
            }
          }
          await scenario.passUntilRunning();
          scenario.assertRunsInTime();
        });
      }
    });
  }
});
