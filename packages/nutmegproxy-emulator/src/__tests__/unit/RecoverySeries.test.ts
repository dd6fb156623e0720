import type {RunNumber} from '@nutmegproxy/jobs';
import type {OwnershipToken} from '@nutmegproxy/owner';

import {formatTaskName, STATE_PREFIX} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES, SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {KillableOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {isWriteOf, ROSTER_KEY, waitForRecord} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const {maxFormerLeaseMs: MAX_FORMER_LEASE_MS} = DEFAULT_LEASE_TIMES;

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
/** Time in real milliseconds in which an owner would start a task that it does not hold back. */
const IDLE_MS = 1_500;
/** Run numbers reserved for each owner. */
const RUN_NUMBERS_PER_TERM = 1_000;
/** Time in real milliseconds in which an owner records what it knows and reaches its minions. */
const SETTLED_MS = 500;
/** Time in milliseconds that passes in each step, and the real pause after it. */
const STEP_MS = 500;
const STEP_PAUSE_MS = 60;
/** Longest real time in milliseconds in which an owner makes no round, and a margin. */
const IDLE_ROUND_MS = 350;
const SHORT_STEP_MS = 250;
/** Time in milliseconds for which a minion is silent before its owner is killed. */
const SILENT_BEFORE_KILL_MS = 1_000;
/** Time in milliseconds for which a killed owner keeps the ownership. */
const OWNERSHIP_KEPT_MS = 2_000;
const RECOVERY_KEY = `${STATE_PREFIX}recovery`;

/** Whether the arguments of a store call are a write of the record of used minions. */
function isRecoveryWrite(args: readonly unknown[]): boolean {
  return isWriteOf(RECOVERY_KEY, args);
}

describe('Recovery in a series of takeovers', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  async function submitLastingJob(number = 1): Promise<void> {
    await submitJob(harness.store, createStoredJob(number, [createStepShape({longRunning: true})]));
  }

  /** Lets an owner reach a minion, with a task that lasts if wanted, and stop as planned. */
  async function useAndStop(minion: EmulatedMinion, runsTask: boolean): Promise<void> {
    const first = await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 2);
    if (runsTask) {
      await submitLastingJob();
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      const {answeredPolls} = minion;
      await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 1);
      await sleep(SETTLED_MS);
    }
    await harness.stopAsPlanned(first);
    await sleep(SETTLED_MS);
  }

  /** Starts an owner that is killed in its recovery, since it can't reach the minion. */
  async function startAndKill(vm: string): Promise<KillableOwner> {
    const killable = await harness.startKillable(vm);
    await sleep(SETTLED_MS);
    await killable.kill();
    return killable;
  }

  async function isIdle(minion: EmulatedMinion): Promise<boolean> {
    await waitFor('the minion has reported', () => minion.answeredPolls > 0);
    await sleep(IDLE_MS);
    return minion.liveTasks.length === 0;
  }

  describe('an owner that is killed in its recovery between two planned stops', () => {
    it('does not delay the tasks that a minion that left can not run', async () => {
      const leaving = harness.addMinion('m1');
      await useAndStop(leaving, false);
      harness.fleet.remove(leaving.description.id);
      await startAndKill('vm-2');
      await submitLastingJob();
      const other = harness.addMinion('m2');
      await harness.start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay them either when it is killed before it has stored anything', async () => {
      const leaving = harness.addMinion('m1');
      await useAndStop(leaving, false);
      harness.fleet.remove(leaving.description.id);
      const killable = await harness.startKillable('vm-2');
      await killable.kill();
      await submitLastingJob();
      const other = harness.addMinion('m2');
      await harness.start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay the tasks that a minion that left ran beyond their deadline', async () => {
      const leaving = harness.addMinion('m1');
      await useAndStop(leaving, true);
      harness.fleet.remove(leaving.description.id);
      await startAndKill('vm-2');
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      assert.ok(await isIdle(other));
      harness.clock.advance(RESTART_DEADLINE_MS);
      ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay all tasks when a later one stops before it has read the minions', async () => {
      const leaving = harness.addMinion('m1');
      await useAndStop(leaving, false);
      harness.fleet.remove(leaving.description.id);
      await startAndKill('vm-2');
      await harness.stopAsPlanned(await harness.start('vm-3'));
      await submitLastingJob();
      const other = harness.addMinion('m2');
      await harness.start('vm-4');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion of which no record names the runs', () => {
    it('is not waited for anew by each owner', async () => {
      const leaving = harness.addMinion('m1');
      const first = await harness.startKillable('vm-1');
      await submitLastingJob();
      await waitFor('the task runs', () => leaving.liveTasks.length === 1);
      await first.kill();
      harness.fleet.remove(leaving.description.id);
      const second = await harness.startKillable('vm-2');
      await sleep(SETTLED_MS);
      // A VM that did not watch counts from the last write, so the owner gets its turns to write.
      await harness.passTime(second.started.ownership, MAX_FORMER_LEASE_MS / 2, 500, IDLE_ROUND_MS);
      await second.kill();
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      assert.ok(await isIdle(other));
      // Half of the time is left, and what has passed since the last write.
      await harness.passTime(ownership, MAX_FORMER_LEASE_MS / 2 + 2_000, 500);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('the expiry of a lease that an owner stored before it was killed', () => {
    it('does not become later for a VM that knew the state of the store then', async () => {
      const leaving = harness.addMinion('m1');
      const first = await harness.startKillable('vm-1');
      await submitLastingJob();
      await waitFor('the task runs', () => leaving.liveTasks.length === 1);
      const last = harness.startWaitingVm('vm-3');
      await first.kill();
      harness.fleet.remove(leaving.description.id);
      const second = await harness.startKillable('vm-2');
      await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"heldUntil"'));
      await sleep(SETTLED_MS);
      for (let elapsedMs = 0; elapsedMs < MAX_FORMER_LEASE_MS / 2; elapsedMs += STEP_MS) {
        await last.observe();
        await harness.passTime(second.started.ownership, STEP_MS, STEP_MS);
      }
      await second.kill();
      last.isAllowed = true;
      await waitFor('the VM owns the fleet', () => last.ownership !== undefined);
      const other = harness.addMinion('m2');
      assert.ok(await isIdle(other));
      assert.ok(last.ownership);
      const restMs = MAX_FORMER_LEASE_MS / 2;
      await harness.passTime(last.ownership, restMs - STEP_MS, STEP_MS, STEP_PAUSE_MS);
      assert.ok(await isIdle(other));
      await harness.passTime(last.ownership, 2 * STEP_MS, STEP_MS, STEP_PAUSE_MS);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion that was silent for an owner that is killed', () => {
    it('does not keep its task from running again within the deadline, nor lets it run twice', async () => {
      const silent = harness.addMinion('m1');
      const first = await harness.startKillable('vm-1');
      await submitLastingJob();
      await waitFor('the task runs', () => silent.liveTasks.length === 1);
      const {answeredPolls} = silent;
      await waitFor('the run is listed', () => silent.answeredPolls > answeredPolls + 1);
      const last = harness.startWaitingVm('vm-2');
      harness.fleet.faults(silent.description.id).isUnreachable = true;
      await waitForRecord(harness.store, ROSTER_KEY, (text) => text.includes('"heldUntil"'));
      await last.observe();
      await harness.passTime(first.started.ownership, SILENT_BEFORE_KILL_MS, STEP_MS);
      await first.kill(OWNERSHIP_KEPT_MS);
      last.isAllowed = true;
      await waitFor('the VM owns the fleet', () => last.ownership !== undefined);
      const other = harness.addMinion('m2');
      assert.ok(await isIdle(other));
      assert.ok(last.ownership);
      const remainingMs = RESTART_DEADLINE_MS - SILENT_BEFORE_KILL_MS - OWNERSHIP_KEPT_MS;
      for (let elapsedMs = 0; elapsedMs < remainingMs; elapsedMs += SHORT_STEP_MS) {
        await harness.passTime(last.ownership, SHORT_STEP_MS, SHORT_STEP_MS, STEP_PAUSE_MS);
        silent.advance(harness.clock.monotonic());
        assert.ok(silent.liveTasks.length + other.liveTasks.length <= 1);
      }
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a silent minion with a start that may have reached a new incarnation', () => {
    it('has a lease whose length is not stored, since that one has another clock', async () => {
      const silent = harness.addMinion('m1');
      await harness.start('vm-1');
      await waitFor('the minion has reported', () => silent.answeredPolls > 2);
      const faults = harness.fleet.faults(silent.description.id);
      faults.startDelayMs = 60_000;
      await submitLastingJob();
      await waitFor('the task is sent', () =>
        harness.events.includes(SCHEDULING_EVENTS.RUN_PLACED),
      );
      await sleep(SETTLED_MS);
      faults.isUnreachable = true;
      let stored = '';
      await waitForRecord(harness.store, ROSTER_KEY, (text) => {
        stored = text;
        return text.includes('"heldUntil"');
      });
      assert.doesNotMatch(stored, /heldForMs/);
    });
  });

  describe('a minion that lists a result that no owner has stored', () => {
    it('is asked for it although its lease expired while no owner was up', async () => {
      const minion = new EmulatedMinion(createMinionDescription('m1'), () => ({
        durationMs: 1_000,
        outcome: 'done',
      }));
      harness.fleet.add(minion);
      const first = await harness.startKillable('vm-1');
      await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      await first.kill();
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      await startAndKill('vm-2');
      harness.clock.advance(2 * MAX_FORMER_LEASE_MS);
      harness.fleet.faults(minion.description.id).isUnreachable = false;
      const other = harness.addMinion('m2');
      await harness.start('vm-3');
      assert.ok(await isIdle(other));
      assert.deepEqual(
        minion.records.map(({outcome}) => outcome),
        ['done'],
      );
    });
  });

  describe('a minion that an owner used after the last closing record', () => {
    let other: EmulatedMinion;
    let used: EmulatedMinion;

    beforeEach(async () => {
      used = harness.addMinion('m1');
      await useAndStop(used, false);
    });

    async function takeOver(vm: string): Promise<void> {
      harness.fleet.faults(used.description.id).isUnreachable = true;
      other = harness.addMinion('m2');
      await harness.start(vm);
    }

    it('counts as running anything when its owner was killed', async () => {
      const second = await harness.startKillable('vm-2');
      await submitLastingJob();
      await waitFor('the task runs', () => used.liveTasks.length === 1);
      await second.kill();
      await takeOver('vm-3');
      assert.ok(await isIdle(other));
    });

    it('counts as running anything after further owners that were killed in their recovery', async () => {
      const second = await harness.startKillable('vm-2');
      await submitLastingJob();
      await waitFor('the task runs', () => used.liveTasks.length === 1);
      await second.kill();
      harness.fleet.faults(used.description.id).isUnreachable = true;
      await startAndKill('vm-3');
      await startAndKill('vm-4');
      await takeOver('vm-5');
      assert.ok(await isIdle(other));
    });

    it('counts as running anything after an owner that learned its runs and was killed before it recorded its use', async () => {
      const second = await harness.startKillable('vm-2');
      await submitLastingJob();
      await waitFor('the task runs', () => used.liveTasks.length === 1);
      await second.kill();
      const third = await harness.startKillable('vm-3', isRecoveryWrite);
      const {answeredPolls} = used;
      await waitFor('the minion has reported', () => used.answeredPolls > answeredPolls + 2);
      await third.kill();
      await takeOver('vm-4');
      assert.ok(await isIdle(other));
    });

    it('gets no run before the record of its use is stored', async () => {
      let isFailing = true;
      await harness.startKillable('vm-2', (args) => isFailing && isRecoveryWrite(args));
      const {answeredPolls} = used;
      await submitLastingJob();
      await waitFor('the minion has reported', () => used.answeredPolls > answeredPolls + 1);
      assert.ok(await isIdle(used));
      isFailing = false;
      await waitFor('the task runs', () => used.liveTasks.length === 1, REACTION_MS);
    });

    it('counts as running anything when an owner of an earlier version used it', async () => {
      // That owner counts the terms, but does not record which minions it uses.
      const key = `${STATE_PREFIX}term`;
      const stored = (await getKey(harness.store, key))._unsafeUnwrap();
      const term = Number(stored?.value.toString()) + 1;
      const token = (await put(harness.store, key, Buffer.from(String(term))))._unsafeUnwrap();
      await submitLastingJob();
      const {id: job} = createStoredJob(1, []);
      const now = harness.clock.monotonic();
      const started = used.start(
        {
          checkpoint: undefined,
          number: (term * RUN_NUMBERS_PER_TERM + 1) as RunNumber,
          payload: '',
          task: formatTaskName({index: 0, job, occurrence: 0, step: 0}),
          ticket: undefined,
          token: token as OwnershipToken,
          untilMs: now + 7_500,
        },
        now,
      );
      assert.ok(started.isOk());
      await takeOver('vm-3');
      assert.ok(await isIdle(other));
    });
  });
});
