import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {CrashHarness, LASTING} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';

describe('A good task on minions that fail', () => {
  let harness: CrashHarness;

  beforeEach(() => {
    harness = new CrashHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  it('is not blamed for the crash of a minion to which its start was not sent', async () => {
    const minions = harness.addMinions(3);
    await harness.start('vm-1');
    const good = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(good.id, LASTING);
    await submitJob(harness.store, good);
    await waitFor('the task runs', () => minions.some(({liveTasks}) => liveTasks.length > 0));
    const first = minions.find(({liveTasks}) => liveTasks.length > 0);
    // The store fails while the start of a trial waits for its record.
    harness.isStoreDown = true;
    first?.crash(150, SYSTEM_CLOCK.monotonic());
    await waitFor(
      'a trial is planned',
      () => harness.countEvents(SCHEDULING_EVENTS.TRIAL_STARTED) === 1,
    );
    const trial = harness.events.find(({kind}) => kind === SCHEDULING_EVENTS.TRIAL_STARTED);
    const second = minions.find(({description}) => description.id === trial?.fields.minion);
    assert.ok(second);
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.equal(harness.listRuns(good).length, 1);
    second.crash(150, SYSTEM_CLOCK.monotonic());
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(harness.countGuiltyVerdicts(), 0);
    assert.ok(harness.countEvents(OWNER_EVENTS.TRIAL_NOT_STORED) > 0);
    harness.isStoreDown = false;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    assert.equal((await harness.readProgress(good))?.status, 'running');
  });

  it('is not blamed for the crash of a minion on which it had ended before', async () => {
    const minions = harness.addMinions(4);
    await harness.start('vm-1');
    const good = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(good.id, {durationMs: 60, outcome: 'done'});
    const cut: EmulatedMinion[] = [];
    let round = 1;
    for (const minion of minions) {
      const start = minion.start.bind(minion);
      minion.start = (...args) => {
        const answer = start(...args);
        if (answer.isOk() && cut.length < round) {
          cut.push(minion);
          // The minion is cut off once the response has arrived; its run ends there; later it crashes.
          setImmediate(() => {
            harness.fleet.faults(minion.description.id).isUnreachable = true;
          });
        }
        return answer;
      };
    }
    await submitJob(harness.store, good);
    for (const awaited of [1, 2]) {
      round = awaited;
      await waitFor('the task runs', () => cut.length === round);
      const minion = cut.at(-1);
      assert.ok(minion);
      await new Promise((resolve) => setTimeout(resolve, 300));
      minion.advance(SYSTEM_CLOCK.monotonic());
      assert.equal(minion.liveTasks.length, 0);
      minion.crash(50, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 100));
      harness.fleet.faults(minion.description.id).isUnreachable = false;
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(harness.countGuiltyVerdicts(), 0);
  });

  it('is not blamed for the crash of a minion that was down when its start was sent', async () => {
    const minions = harness.addMinions(4);
    await harness.start('vm-1');
    const good = createStoredJob(1, [createStepShape({requiredLabel: 'a'})]);
    harness.behaviours.set(good.id, LASTING);
    for (const {description} of minions) {
      // The first start to each minion is lost, as the minion is down by then.
      harness.fleet.faults(description.id).startDelayMs = 1_000_000;
    }
    await submitJob(harness.store, good);
    const seen = new Set<unknown>();
    for (let round = 1; round <= 2; round += 1) {
      const isNew = (): boolean =>
        harness.events.some(
          ({fields, kind}) => kind === SCHEDULING_EVENTS.RUN_PLACED && !seen.has(fields.minion),
        );
      await waitFor('the task is placed', isNew);
      const placed = harness.events.find(
        ({fields, kind}) => kind === SCHEDULING_EVENTS.RUN_PLACED && !seen.has(fields.minion),
      );
      const minion = minions.find(({description}) => description.id === placed?.fields.minion);
      assert.ok(minion);
      seen.add(minion.description.id);
      minion.crash(400, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 600));
      harness.fleet.faults(minion.description.id).startDelayMs = 0;
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    assert.equal(harness.countGuiltyVerdicts(), 0);
  });
});
