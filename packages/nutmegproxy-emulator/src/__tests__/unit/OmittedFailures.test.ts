import {formatJobKey} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {TaskBehaviour} from '../../EmulatedMinion.ts';
import type {KillableOwner, StartedOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  QUEUE,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {isWriteOf} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Results that a minion lists at a time, those of the first tasks first. */
const LISTED = 500;
const TASKS = 600;
const TASK_MS = 400;
const RESOURCES = {cpuMilli: 1, gpus: 0, memoryMb: 1};
/** Time in real milliseconds in which an owner reads several listings. */
const LISTINGS_MS = 1_500;
/** Longer than a task avoids a minion on which it has failed. */
const RETRIES_MS = 20_000;
const STEP_MS = 200;

describe('A minion that omits results', () => {
  let harness: TakeoverHarness;
  let isJournalFailing: boolean;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    isJournalFailing = false;
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Returns the largest number of runs of one task. */
  function findMostRuns(): number {
    const counts = new Map<string, number>();
    for (const {task} of minion.records) {
      counts.set(task, (counts.get(task) ?? 0) + 1);
    }
    return Math.max(...counts.values());
  }

  /** Runs a job with the given steps on one minion until all its first runs have ended. */
  async function runTasks(
    change: Parameters<typeof createStepShape>[0],
    choose: (index: number, number: number) => TaskBehaviour['outcome'],
  ): Promise<KillableOwner> {
    minion = new EmulatedMinion(createMinionDescription('m1'), ({index}, number) => ({
      durationMs: TASK_MS,
      outcome: choose(index, number),
    }));
    harness.fleet.add(minion);
    const job = createStoredJob(1, [
      createStepShape({count: TASKS, resources: RESOURCES, ...change}),
    ]);
    const owner = await harness.startKillable(
      'vm-1',
      (args) => isJournalFailing && isWriteOf(formatJobKey(job.id, 'progress'), args),
    );
    await submitJob(harness.store, job);
    await waitFor('all tasks run', () => minion.liveTasks.length === TASKS);
    const {answeredPolls} = minion;
    await waitFor('the runs are listed', () => minion.answeredPolls > answeredPolls + 1);
    isJournalFailing = true;
    harness.clock.advance(TASK_MS);
    owner.started.ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    await sleep(LISTINGS_MS);
    assert.equal(minion.records.length, TASKS, 'runs before the results are stored');
    return owner;
  }

  /** Lets time pass until the job is over. */
  async function awaitEnd({ownership}: StartedOwner): Promise<string> {
    const key = formatJobKey(createStoredJob(1, []).id, 'progress');
    const readStatus = async (): Promise<string> => {
      const stored = await getKey(harness.store, key);
      const text = stored.unwrapOr(undefined)?.value.toString() ?? '{}';
      return String((JSON.parse(text) as {readonly status?: string}).status);
    };
    for (let elapsedMs = 0; elapsedMs < RETRIES_MS; elapsedMs += STEP_MS) {
      await harness.passTime(ownership, STEP_MS, STEP_MS);
      const status = await readStatus();
      if (status === 'completed' || status === 'failed') {
        return status;
      }
    }
    return readStatus();
  }

  describe('of runs that have failed', () => {
    const isOmitted = (index: number): boolean => index >= LISTED;

    // Guards against failed runs that count as lost, so that their tasks get more attempts.
    it('starts no task more often than its queue allows', async () => {
      const {started} = await runTasks({}, (index) => (isOmitted(index) ? 'failed' : 'done'));
      isJournalFailing = false;
      assert.equal(await awaitEnd(started), 'failed');
      assert.ok(findMostRuns() <= QUEUE.maxAttempts, `${findMostRuns()} runs of a task`);
    });

    it('starts their tasks again and no others', async () => {
      const {started} = await runTasks({}, (index, number) =>
        isOmitted(index) && number === 1 ? 'failed' : 'done',
      );
      isJournalFailing = false;
      assert.equal(await awaitEnd(started), 'completed');
      assert.equal(minion.records.length, TASKS + (TASKS - LISTED));
    });

    it('starts no task more often than its queue allows when its owner is killed', async () => {
      const first = await runTasks({}, (index) => (isOmitted(index) ? 'failed' : 'done'));
      await first.kill();
      const second = await harness.start('vm-2');
      assert.equal(await awaitEnd(second), 'failed');
      assert.ok(findMostRuns() <= QUEUE.maxAttempts, `${findMostRuns()} runs of a task`);
    });
  });

  describe('of a gang', () => {
    it('starts no member a second time', async () => {
      const {started} = await runTasks({gang: true}, () => 'done');
      isJournalFailing = false;
      assert.equal(await awaitEnd(started), 'completed');
      assert.equal(minion.records.length, TASKS);
    });

    it('starts no member a second time when its owner is killed', async () => {
      const first = await runTasks({gang: true}, () => 'done');
      await first.kill();
      const second = await harness.start('vm-2');
      assert.equal(await awaitEnd(second), 'completed');
      assert.equal(minion.records.length, TASKS);
    });

    it('starts all members no more often than the queue allows when the last one fails', async () => {
      const {started} = await runTasks({gang: true}, (index) =>
        index === TASKS - 1 ? 'failed' : 'gang-broken',
      );
      isJournalFailing = false;
      assert.equal(await awaitEnd(started), 'failed');
      assert.equal(findMostRuns(), QUEUE.maxAttempts);
    });
  });
});
