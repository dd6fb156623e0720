import type {OrderFailure} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {Result} from 'neverthrow';

import {formatJobKey} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {KillableOwner, StartedOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {isWriteOf, waitForRecord} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const FORMER = createStoredJob(1, [createStepShape({count: 3})]);
const LATER = createStoredJob(2, [createStepShape({count: 2})]);
const TASK_MS = 100;
const RESTARTED_AT = 2;
const SET_BACK_TO = 0;
/** Time in real milliseconds in which an owner reads several listings and starts what waits. */
const SETTLED_MS = 1_000;
/** Time in milliseconds after which a start is carried out that is delayed. */
const START_DELAY_MS = 400;
/** Time in milliseconds, and its steps, in which tasks start that the owner takes for not run. */
const OBSERVED_MS = 3_000;
const STEP_MS = 100;

// Guards against a start after a result `done`, which the owner acknowledged unread by the number of
// a result of the incarnation before.
describe('The results of a minion that has restarted', () => {
  let harness: TakeoverHarness;
  let isJournalFailing: boolean;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    isJournalFailing = false;
    minion = new EmulatedMinion(createMinionDescription('m1'), () => ({
      durationMs: TASK_MS,
      outcome: 'done',
    }));
    harness.fleet.add(minion);
  });

  afterEach(async () => {
    await harness.close();
  });

  function startOwner(vm: string): Promise<KillableOwner> {
    return harness.startKillable(vm, (args) => isJournalFailing && isWriteOf('/progress', args));
  }

  function endTasks({ownership}: StartedOwner): void {
    harness.clock.advance(TASK_MS);
    ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    minion.advance(harness.clock.monotonic());
  }

  async function awaitPolls(count = 2): Promise<void> {
    const polls = minion.answeredPolls;
    await waitFor('the minion is polled', () => minion.answeredPolls >= polls + count);
  }

  /** Ends all tasks of the former incarnation; waits until their results are listed. */
  async function endFormerTasks(started: StartedOwner): Promise<void> {
    await submitJob(harness.store, FORMER);
    await waitFor('the former tasks run', () => minion.liveTasks.length === 3);
    await awaitPolls();
    endTasks(started);
    await awaitPolls();
  }

  async function waitForEndOfFormer(): Promise<void> {
    await waitForRecord(harness.store, formatJobKey(FORMER.id, 'progress'), (text) =>
      text.includes('"completed"'),
    );
    await awaitPolls();
  }

  function restart(bornAt = RESTARTED_AT): void {
    minion.restart(bornAt, harness.clock.monotonic());
  }

  async function waitForRestart(): Promise<void> {
    await waitFor('the restart is known', () =>
      harness.events.includes(OWNER_EVENTS.MINION_RESTARTED),
    );
  }

  async function runLaterTasks(): Promise<void> {
    await submitJob(harness.store, LATER);
    await waitFor('the later tasks run', () => minion.liveTasks.length === 2);
  }

  /** Checks that each task of the new incarnation has one record. */
  async function checkLaterTasks(): Promise<void> {
    await sleep(SETTLED_MS);
    const names = minion.records.map(({number, outcome, task}) => `${task}/${number} ${outcome}`);
    const later = names.filter((name) => name.startsWith(LATER.id));
    assert.deepEqual(
      later.map((name) => name.replace(/\/\d+/, '')),
      [`${LATER.id}.0.0.0 done`, `${LATER.id}.0.0.1 done`],
      later.join(', '),
    );
  }

  it('are not acknowledged unread when those of the former incarnation are stored later', async () => {
    const {started} = await startOwner('vm-1');
    isJournalFailing = true;
    await endFormerTasks(started);
    restart();
    await waitForRestart();
    await runLaterTasks();
    isJournalFailing = false;
    await waitForEndOfFormer();
    endTasks(started);
    await checkLaterTasks();
  });

  it('are not acknowledged unread when a listing of the former incarnation arrives later', async () => {
    const first = await startOwner('vm-1');
    isJournalFailing = true;
    await endFormerTasks(first.started);
    await first.kill();
    isJournalFailing = false;
    let release = (): void => undefined;
    const isReleased = new Promise<void>((resolve) => {
      release = resolve;
    });
    const poll = harness.fleet.poll.bind(harness.fleet);
    const hold = async (
      ...args: Parameters<typeof poll>
    ): Promise<Result<MinionListing, OrderFailure>> => {
      const answer = await poll(...args);
      await isReleased;
      return answer;
    };
    harness.fleet.poll = (...args) => new ResultAsync(hold(...args));
    const polls = minion.answeredPolls;
    const second = await startOwner('vm-2');
    await waitFor('the response is on its way', () => minion.answeredPolls > polls);
    restart();
    harness.fleet.add(minion);
    await waitForRestart();
    release();
    await waitForEndOfFormer();
    await runLaterTasks();
    await awaitPolls();
    endTasks(second.started);
    await checkLaterTasks();
  });

  it('are not acknowledged unread when its clock was set back before it restarted', async () => {
    const {started} = await startOwner('vm-1');
    await endFormerTasks(started);
    await waitForEndOfFormer();
    restart(SET_BACK_TO);
    await awaitPolls();
    await runLaterTasks();
    await awaitPolls();
    endTasks(started);
    await checkLaterTasks();
  });

  it('are not acknowledged unread by the first poll after it was silent', async () => {
    const {started} = await startOwner('vm-1');
    await endFormerTasks(started);
    await waitForEndOfFormer();
    const faults = harness.fleet.faults(minion.description.id);
    faults.startDelayMs = START_DELAY_MS;
    await submitJob(harness.store, LATER);
    await waitFor('a start got no response', () =>
      harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
    );
    faults.isUnreachable = true;
    restart();
    await waitFor('the delayed starts arrive', () => minion.liveTasks.length === 2);
    endTasks(started);
    // Starts that were sent again under the same number arrive as well, and are rejected.
    await sleep(START_DELAY_MS);
    faults.startDelayMs = 0;
    faults.isUnreachable = false;
    await waitForRestart();
    await harness.passTime(started.ownership, OBSERVED_MS, STEP_MS);
    await checkLaterTasks();
  });
});
