import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRecord, waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const CLOSING_KEY = `${STATE_PREFIX}closing`;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;

/** Whether the arguments of a store call only read the closing record. */
function isClosingRead(args: readonly unknown[]): boolean {
  const [{compare = [], then = []} = {}] = args as {
    compare?: readonly unknown[];
    then?: readonly {readonly key?: string; readonly kind?: string}[];
  }[];
  return compare.length === 0 && then.some(({key, kind}) => kind === 'get' && key === CLOSING_KEY);
}

describe('A lasting task of a minion that drained and left, whose run its owner knew to be over', () => {
  let canReadClosing: boolean;
  let harness: TakeoverHarness;
  let leaving: EmulatedMinion;

  beforeEach(async () => {
    canReadClosing = false;
    harness = new TakeoverHarness();
    leaving = harness.addMinion('m1');
    const first = await harness.start('vm-1');
    await harness.runLastingTask(leaving);
    const lasting = leaving.records[0]?.task;
    // A task that does not last runs to its end there, so that the draining record stays as it is.
    await submitJob(harness.store, createStoredJob(2, [createStepShape()]));
    await waitFor('the other task runs', () => leaving.liveTasks.length === 2);
    leaving.description = {...leaving.description, isDraining: true};
    harness.fleet.add(leaving);
    await waitForRoster(harness.store, (roster) => roster.includes('"draining"'));
    await waitFor('the run is over', () => !leaving.liveTasks.some((task) => task === lasting));
    await sleep(SETTLED_MS);
    await harness.stopAsPlanned(first);
    await waitForRecord(harness.store, CLOSING_KEY, (text) => text.includes('"term":0'));
    leaving.crash(Infinity, harness.clock.monotonic());
    harness.fleet.remove(leaving.description.id);
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Starts an owner that can't read the closing record of the owner before. */
  function startUnread(): Promise<KillableOwner> {
    return harness.startKillable('vm-2', (args) => !canReadClosing && isClosingRead(args));
  }

  /** Starts the last owner; the clock stands still, so that no lease expires. */
  async function takeOver(): Promise<void> {
    const other = harness.addMinion('m2');
    await harness.start('vm-3');
    await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
  }

  describe('when the next owner stops as planned before it has read the closing record', () => {
    async function stopUnread({started}: KillableOwner): Promise<void> {
      canReadClosing = true;
      await harness.stopAsPlanned(started);
      await waitForRecord(harness.store, CLOSING_KEY, (text) => text.includes('"term":1'));
    }

    it('is not held by its draining record', async () => {
      const second = await startUnread();
      await stopUnread(second);
      await takeOver();
    });

    it('is not held by a record that the minion is silent', async () => {
      const second = await startUnread();
      await waitForRoster(harness.store, (roster) => roster.includes('"silent"'));
      await stopUnread(second);
      await takeOver();
    });
  });

  it('is not held by a record that the minion is silent when the next owner is killed', async () => {
    const second = await startUnread();
    await waitForRoster(harness.store, (roster) => roster.includes('"silent"'));
    await second.kill();
    canReadClosing = true;
    await takeOver();
  });

  it('is not held by its next owner once that has read the closing record', async () => {
    const second = await startUnread();
    const other = harness.addMinion('m2');
    await waitForRoster(harness.store, (roster) => roster.includes('"silent"'));
    canReadClosing = true;
    await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    await second.kill();
  });
});
