import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {RevisionLog} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {CrashOwner} from './CrashHarness.ts';

import {CrashHarness, LASTING, MAX_STARTS} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep} from './TakeoverHarness.ts';

/** Time in milliseconds for which a minion is down: longer than the next owner needs to take over. */
const DOWN_MS = 600;
/** Time in milliseconds in which an owner knows that a start was carried out, before it finds the minion silent. */
const CONFIRMED_MS = 30;
/** Time in milliseconds for which a minion drains. */
const DRAIN_MS = 2_100;
/** Time in milliseconds for which an owner that has taken over is left alone. */
const SETTLED_MS = 1_500;

describe('Owners that are stopped as planned right after the first starts of tasks', () => {
  let harness: CrashHarness;

  beforeEach(() => {
    harness = new CrashHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  const countCrashes = (): number => harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION);

  for (const isReplaced of [false, true]) {
    const who = isReplaced ? 'other owners without a response from it' : 'the next owner';
    it(`count the crash of a minion under each start, as found by ${who}`, async () => {
      harness.addMinions(4);
      const deadly = createStoredJob(1, [createStepShape()]);
      const downMs = isReplaced ? DOWN_MS * 2 : DOWN_MS;
      harness.behaviours.set(deadly.id, {crashDownMs: downMs, durationMs: 10, outcome: 'done'});
      await submitJob(harness.store, deadly);
      const isRestrained = (): boolean =>
        harness.countEvents(SCHEDULING_EVENTS.TASK_RESTRAINED) > 0;
      for (let owner = 1; owner <= MAX_STARTS + 1 && !isRestrained(); owner += 1) {
        const starts = harness.listRuns(deadly).length;
        const {stopAsPlanned} = await harness.startStoppable(`vm-${owner}`);
        await waitFor(
          'the task starts or is restrained',
          () => isRestrained() || harness.listRuns(deadly).length > starts,
        );
        assert.equal(countCrashes(), starts);
        await sleep(CONFIRMED_MS);
        await stopAsPlanned();
        if (isReplaced && !isRestrained()) {
          const between = await harness.startStoppable(`vm-${owner}-between`);
          await sleep(DOWN_MS);
          await between.stopAsPlanned();
        }
      }
      assert.ok(isRestrained());
      assert.ok(harness.countStarts(deadly) <= MAX_STARTS);
    });
  }

  describe('do not count', () => {
    async function startLasting(): Promise<CrashOwner> {
      const lasting = createStoredJob(1, [createStepShape({longRunning: true})]);
      harness.behaviours.set(lasting.id, LASTING);
      await submitJob(harness.store, lasting);
      const owner = await harness.startStoppable('vm-1');
      await waitFor('the task runs', () => harness.listRuns(lasting).length === 1);
      await sleep(CONFIRMED_MS);
      return owner;
    }

    it('a minion that goes on', async () => {
      harness.addMinions(2);
      const {stopAsPlanned} = await startLasting();
      await stopAsPlanned();
      await harness.start('vm-2');
      await sleep(SETTLED_MS);
      assert.equal(countCrashes(), 0);
    });

    it('a minion that drains before it restarts', async () => {
      const minions = harness.addMinions(2);
      const {stopAsPlanned} = await startLasting();
      const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(minion);
      minion.description = {...minion.description, isDraining: true};
      harness.fleet.add(minion);
      await stopAsPlanned();
      minion.crash(DOWN_MS, SYSTEM_CLOCK.monotonic());
      await harness.start('vm-2');
      await sleep(SETTLED_MS);
      assert.equal(countCrashes(), 0);
    });

    for (const who of ['a VM that watched', 'a VM that has just started']) {
      it(`a minion that may have drained while nobody owned the fleet, as found by ${who}`, async () => {
        const minions = harness.addMinions(2);
        const {stopAsPlanned} = await startLasting();
        const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
        assert.ok(minion);
        await stopAsPlanned();
        await sleep(DRAIN_MS);
        minion.crash(DOWN_MS, SYSTEM_CLOCK.monotonic());
        const hasWatched = who === 'a VM that watched';
        await harness.startStoppable('vm-2', hasWatched ? undefined : new RevisionLog());
        await sleep(SETTLED_MS);
        assert.equal(countCrashes(), 0);
      });
    }
  });
});
