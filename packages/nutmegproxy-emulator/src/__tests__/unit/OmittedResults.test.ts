import {formatJobKey} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {StartedOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {isWriteOf} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** More tasks than a minion lists results of in two listings. */
const TASKS = 1_100;
const TASK_MS = 400;
const RESOURCES = {cpuMilli: 1, gpus: 0, memoryMb: 1};
const JOB = createStoredJob(1, [createStepShape({count: TASKS, resources: RESOURCES})]);
/** Time in real milliseconds in which an owner reads several listings. */
const LISTINGS_MS = 1_500;

describe('A minion with more results than it lists at a time', () => {
  let harness: TakeoverHarness;
  let isJournalFailing: boolean;

  beforeEach(() => {
    harness = new TakeoverHarness();
    isJournalFailing = false;
  });

  afterEach(async () => {
    await harness.close();
  });

  function addMinion(name: string): EmulatedMinion {
    const minion = new EmulatedMinion(createMinionDescription(name), () => ({
      durationMs: TASK_MS,
      outcome: 'done',
    }));
    harness.fleet.add(minion);
    return minion;
  }

  function startFirst(): ReturnType<TakeoverHarness['startKillable']> {
    return harness.startKillable(
      'vm-1',
      (args) => isJournalFailing && isWriteOf(formatJobKey(JOB.id, 'progress'), args),
    );
  }

  /** Submits the job and waits until its tasks run and their runs are listed. */
  async function runTasks(minions: readonly EmulatedMinion[]): Promise<void> {
    await submitJob(harness.store, JOB);
    await waitFor(
      'all tasks run',
      () => minions.reduce((sum, {liveTasks}) => sum + liveTasks.length, 0) === TASKS,
    );
    const polls = minions.map(({answeredPolls}) => answeredPolls);
    await waitFor('the runs are listed', () =>
      minions.every(({answeredPolls}, index) => answeredPolls > (polls[index] ?? 0) + 1),
    );
  }

  async function endTasks({ownership}: StartedOwner): Promise<void> {
    harness.clock.advance(TASK_MS);
    ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    await sleep(LISTINGS_MS);
  }

  async function waitForStatus(expected: string): Promise<void> {
    let text = '';
    const timer = setInterval(() => {
      void getKey(harness.store, formatJobKey(JOB.id, 'progress')).then((stored) => {
        text = stored.unwrapOr(undefined)?.value.toString() ?? '';
      });
    }, 20);
    await waitFor(`the job is ${expected}`, () => text.includes(`"${expected}"`)).finally(() => {
      clearInterval(timer);
    });
  }

  it('runs no task twice while the store fails', async () => {
    const minion = addMinion('m1');
    const {started} = await startFirst();
    await runTasks([minion]);
    isJournalFailing = true;
    await endTasks(started);
    assert.equal(minion.records.length, TASKS, 'tasks started again');
    isJournalFailing = false;
    await waitForStatus('completed');
    assert.equal(minion.records.length, TASKS);
    const omitted = harness.events.filter((kind) => kind === OWNER_EVENTS.RESULTS_OMITTED);
    assert.equal(omitted.length, 1, 'lines that tell of it');
  });

  it('starts other tasks in the room of those that are over, while the store fails', async () => {
    const minion = addMinion('m1');
    const {started} = await startFirst();
    await runTasks([minion]);
    isJournalFailing = true;
    await endTasks(started);
    const whole = createStepShape({resources: {cpuMilli: 4_000, gpus: 0, memoryMb: 4_000}});
    await submitJob(harness.store, createStoredJob(2, [whole]));
    await waitFor('the other task runs', () => minion.liveTasks.length === 1);
  });

  it('runs no task twice when its owner is killed', async () => {
    const minion = addMinion('m1');
    const first = await startFirst();
    await runTasks([minion]);
    await first.kill(TASK_MS);
    const {ownership} = await harness.start('vm-2');
    ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    await waitForStatus('completed');
    assert.equal(minion.records.length, TASKS);
  });

  it('runs no task twice elsewhere when its owner is killed and the store fails again', async () => {
    const minion = addMinion('m1');
    const first = await startFirst();
    await runTasks([minion]);
    const other = addMinion('m2');
    await first.kill(TASK_MS);
    const second = await startFirst();
    isJournalFailing = true;
    await sleep(LISTINGS_MS);
    assert.equal(other.records.length, 0, 'tasks started again');
    isJournalFailing = false;
    second.started.ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    await waitForStatus('completed');
    assert.equal(minion.records.length + other.records.length, TASKS);
  });

  it('starts the tasks of results that are lost when it restarts', async () => {
    const minion = addMinion('m1');
    const {started} = await startFirst();
    await runTasks([minion]);
    isJournalFailing = true;
    await endTasks(started);
    const bornAt = (minion.description.bornAt ?? 0) + 1;
    minion.restart(bornAt, harness.clock.monotonic());
    isJournalFailing = false;
    await waitFor('tasks start again', () => minion.liveTasks.length === TASKS - 500);
  });
});
