import type {StoredJob} from '@nutmegproxy/jobs';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {TaskBehaviour} from '../../EmulatedMinion.ts';

import {CrashHarness, LASTING, MAX_STARTS} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';

const CRASH: TaskBehaviour = {crashDownMs: 150, durationMs: 10, outcome: 'done'};

/** Time in milliseconds after two crashes within which a restrained task does not start again. */
const RESTRAINED_MS = 3_500;
/** Time in milliseconds in which a task has crashed minions so often that chance is no likely cause. */
const RESTRAINT_DEADLINE_MS = 20_000;
/** Time in milliseconds for which the starts of a restrained task are watched. */
const WATCH_MS = 10_000;

describe('A task that crashes its minion', () => {
  let harness: CrashHarness;

  beforeEach(() => {
    harness = new CrashHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  function waitForRestraint(): Promise<void> {
    return waitFor(
      'a task is restrained',
      () => harness.countEvents(SCHEDULING_EVENTS.TASK_RESTRAINED) > 0,
      RESTRAINT_DEADLINE_MS,
    );
  }

  /** Waits until a task of the job starts no more for some time; the job must not be shown as failed. */
  async function assertRestrained(job: StoredJob): Promise<void> {
    await waitForRestraint();
    await new Promise((resolve) => setTimeout(resolve, WATCH_MS));
    assert.ok(harness.countStarts(job) <= MAX_STARTS);
    assert.notEqual((await harness.readProgress(job))?.status, 'failed');
  }

  it('is restrained while good jobs beside it are completed', async () => {
    harness.addMinions(5);
    await harness.start('vm-1');
    const good = createStoredJob(1, [createStepShape({count: 6})]);
    const deadly = createStoredJob(2, [createStepShape({count: 2})]);
    harness.behaviours.set(good.id, {durationMs: 300, outcome: 'done'});
    harness.behaviours.set(deadly.id, CRASH);
    await submitJob(harness.store, good);
    await submitJob(harness.store, deadly);
    await harness.waitForStatus(good, 'completed');
    await assertRestrained(deadly);
  });

  it('is restrained though the minions come back under other ids', async () => {
    const minions = harness.addMinions(6);
    await harness.start('vm-1');
    const deadly = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(deadly.id, LASTING);
    await submitJob(harness.store, deadly);
    for (let crash = 0; crash < 2; crash += 1) {
      await waitFor('the task runs', () => minions.some(({liveTasks}) => liveTasks.length > 0));
      const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(minion);
      const {address, id} = minion.description;
      minion.crash(Infinity, SYSTEM_CLOCK.monotonic());
      await new Promise((resolve) => setTimeout(resolve, 150));
      harness.fleet.replace(id, harness.addMinion(`${id}b`, address));
    }
    await waitForRestraint();
    await new Promise((resolve) => setTimeout(resolve, RESTRAINED_MS));
    assert.equal(harness.listRuns(deadly).length, 2);
  });

  it('is restrained when all tasks of a wide job crash minions at the same time', async () => {
    harness.addMinions(8);
    await harness.start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({count: 24})]);
    harness.behaviours.set(deadly.id, CRASH);
    await submitJob(harness.store, deadly);
    await assertRestrained(deadly);
  });

  it('is restrained when it is a member of a gang', async () => {
    harness.addMinions(6);
    await harness.start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({count: 6, gang: true})]);
    harness.behaviours.set(deadly.id, CRASH);
    await submitJob(harness.store, deadly);
    await assertRestrained(deadly);
  });

  it('is restrained when it lasts', async () => {
    harness.addMinions(4);
    await harness.start('vm-1');
    const deadly = createStoredJob(1, [createStepShape({longRunning: true})]);
    harness.behaviours.set(deadly.id, CRASH);
    await submitJob(harness.store, deadly);
    await assertRestrained(deadly);
  });

  it('is restrained with all later occurrences of its job', async () => {
    harness.addMinions(4);
    await harness.start('vm-1');
    const once = createStoredJob(1, [createStepShape()]);
    const deadly = {
      ...once,
      recurrence: {count: 1_000, firstAt: once.acceptedAt, intervalMs: 2_000},
    };
    harness.behaviours.set(deadly.id, CRASH);
    await submitJob(harness.store, deadly);
    await waitForRestraint();
    const starts = harness.listRuns(deadly).length;
    await new Promise((resolve) => setTimeout(resolve, RESTRAINED_MS));
    assert.equal(harness.listRuns(deadly).length, starts);
  });

  it('is counted by the next owner when the owner is killed right after a trial began', async () => {
    const minions = harness.addMinions(4);
    const kill = await harness.start('vm-1');
    const deadly = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(deadly.id, {...CRASH, crashDownMs: 400});
    await submitJob(harness.store, deadly);
    await waitFor('the second start', () => harness.listRuns(deadly).length === 2);
    await kill();
    const stored = await harness.readProgress(deadly);
    assert.equal(stored?.steps['0.0']?.trials?.[0]?.run, 2);
    await harness.start('vm-2');
    await assertRestrained(deadly);
    assert.equal(minions.length, 4);
  });

  describe('machines that fail together', () => {
    it('do not count against the tasks that had just started on one of them', async () => {
      const minions = harness.addMinions(4);
      await harness.start('vm-1');
      const lasting = createStoredJob(1, [
        createStepShape({count: 4, longRunning: true, maxPerMinion: 1}),
      ]);
      const good = createStoredJob(2, [createStepShape({count: 4, maxPerMinion: 1})]);
      harness.behaviours.set(lasting.id, LASTING);
      harness.behaviours.set(good.id, {durationMs: 1_500, outcome: 'done'});
      await submitJob(harness.store, lasting);
      await waitFor('the lasting tasks run', () =>
        minions.every(({liveTasks}) => liveTasks.length > 0),
      );
      await new Promise((resolve) => setTimeout(resolve, 1_000));
      await submitJob(harness.store, good);
      for (let crash = 0; crash < 2; crash += 1) {
        await waitFor('the good tasks run', () =>
          harness.listRuns(good).some(({endedAtMs}) => endedAtMs === undefined),
        );
        for (const minion of minions) {
          minion.crash(100, SYSTEM_CLOCK.monotonic());
        }
        await new Promise((resolve) => setTimeout(resolve, 1_200));
      }
      await harness.waitForStatus(good, 'completed');
      assert.equal(harness.countGuiltyVerdicts(), 0);
    });
  });
});
