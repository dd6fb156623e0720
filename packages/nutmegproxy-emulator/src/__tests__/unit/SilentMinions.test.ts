import type {MinionId} from '@nutmegproxy/core';
import type {MachineOccupants} from '@nutmegproxy/owner';
import type {MachineId} from '@nutmegproxy/scheduling';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {okAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {EmulatedMachineList} from '../../EmulatedMachineList.ts';
import {CrashHarness} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {
  DRAINING_RUN,
  failAfterWrite,
  readWrite,
  ROSTER_KEY,
  waitForRoster,
} from './StoreSamples.ts';
import {PLATFORMS, sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds for which nobody owns the fleet after a kill. */
const TAKEOVER_AFTER_KILL_MS = 2_500;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Time in real milliseconds in which an owner asks for several lists. */
const LISTS_MS = 1_500;
/** Time in real milliseconds after which a minion carries out a start that it has not responded to. */
const START_DELAY_MS = 4_000;
/** Time in milliseconds for which a crashed minion is down: an owner asks for several lists. */
const DOWN_MS = 3_000;

for (const {hasList, name} of PLATFORMS) {
  describe(`A minion that does not respond, ${name}`, () => {
    let harness: TakeoverHarness;
    let machines: EmulatedMachineList | undefined;
    let minion: EmulatedMinion;

    beforeEach(() => {
      harness = new TakeoverHarness();
      machines = hasList ? harness.addMachineList() : undefined;
      minion = harness.addMinion('m1');
    });

    afterEach(async () => {
      await harness.close();
    });

    async function submitLastingJob(): Promise<void> {
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    }

    async function addOther(): Promise<EmulatedMinion> {
      const other = harness.addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      return other;
    }

    it('may carry out a start of its killed owner after it is up again under its id', async () => {
      const {id} = minion.description;
      const faults = harness.fleet.faults(id);
      const first = await harness.startKillable('vm-1');
      await waitFor('the minion has reported', () => minion.answeredPolls > 3);
      faults.startDelayMs = START_DELAY_MS;
      await submitLastingJob();
      await sleep(SETTLED_MS);
      // The minion crashes: it is down, and its machine shows no minion.
      faults.isUnreachable = true;
      machines?.hidden.add(id);
      await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
      await first.kill();
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      await harness.start('vm-2');
      const other = await addOther();
      await sleep(LISTS_MS);
      // It is up again, and carries out the start before the next owner's first call.
      minion.restart(2, harness.clock.monotonic());
      machines?.hidden.delete(id);
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1, 10_000);
      assert.equal(other.liveTasks.length, 0);
    });

    it('does not hold a lasting task that had just started when the minion was lost for good', async () => {
      const first = await harness.startKillable('vm-1');
      await submitLastingJob();
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      const {answeredPolls} = minion;
      await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 1);
      minion.crash(Infinity, harness.clock.monotonic());
      await waitForRoster(harness.store, (roster) => roster.includes('"suspects"'));
      await first.kill();
      harness.fleet.remove(minion.description.id);
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      const {ownership} = await harness.start('vm-2');
      const other = await addOther();
      const remainingMs = RESTART_DEADLINE_MS - TAKEOVER_AFTER_KILL_MS;
      await harness.passTime(ownership, remainingMs, 250, 100);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not hold a task whose later run has ended on a minion that reports', async () => {
      // The store keeps the record that names the run; what replaces it is not stored any more.
      const isFailing = failAfterWrite(
        ROSTER_KEY,
        DRAINING_RUN,
        (args) => readWrite(ROSTER_KEY, args) !== undefined,
      );
      const first = await harness.startKillable('vm-1', isFailing);
      await submitLastingJob();
      await waitFor('the task runs', () => minion.liveTasks.length === 1);
      await sleep(SETTLED_MS);
      const other = await addOther();
      await sleep(SETTLED_MS);
      minion.description = {...minion.description, isDraining: true};
      harness.fleet.add(minion);
      await waitForRoster(harness.store, (roster) => roster.includes(DRAINING_RUN));
      await waitFor('the task runs on the other minion', () => other.liveTasks.length === 1);
      await sleep(SETTLED_MS);
      await first.kill();
      harness.fleet.remove(minion.description.id);
      // Only the next owner sees the end.
      await sleep(SETTLED_MS);
      const [record] = other.records;
      assert.ok(record);
      const token = first.started.ownership.token;
      other.stop(
        {number: record.number, task: brand(record.task), token},
        harness.clock.monotonic(),
      );
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      const {ownership} = await harness.start('vm-2');
      await sleep(SETTLED_MS);
      const remainingMs = RESTART_DEADLINE_MS - TAKEOVER_AFTER_KILL_MS;
      await harness.passTime(ownership, remainingMs, 250, 100);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe(`A minion that drains and responds, ${name}`, () => {
    it('does not hold the task of a start that it did not respond to', async () => {
      const harness = new TakeoverHarness();
      try {
        if (hasList) {
          harness.addMachineList();
        }
        const minion = harness.addMinion('m1');
        const {ownership} = await harness.start('vm-1');
        await waitFor('the minion has reported', () => minion.answeredPolls > 3);
        harness.fleet.faults(minion.description.id).startDelayMs = 60_000;
        await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
        await sleep(SETTLED_MS);
        minion.description = {...minion.description, isDraining: true};
        harness.fleet.add(minion);
        const other = harness.addMinion('m2');
        await harness.passTime(ownership, RESTART_DEADLINE_MS, 250, 100);
        await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
      } finally {
        await harness.close();
      }
    });
  });

  describe(`A minion that crashes under a trial after its owner was killed, ${name}`, () => {
    it('counts against the task before that starts again', async () => {
      const harness = new CrashHarness();
      try {
        for (const each of harness.addMinions(3)) {
          each.description = {
            ...each.description,
            machine: brand<MachineId>(`machine of ${each.description.id}`),
          };
        }
        const {fleet} = harness;
        fleet.machineList = hasList
          ? new EmulatedMachineList(SYSTEM_CLOCK, fleet.minions)
          : undefined;
        const deadly = createStoredJob(1, [createStepShape()]);
        harness.behaviours.set(deadly.id, {crashDownMs: DOWN_MS, durationMs: 100, outcome: 'done'});
        await submitJob(harness.store, deadly);
        const kill = await harness.start('vm-1');
        await waitFor('the trial starts', () => harness.listRuns(deadly).length === 2);
        assert.equal(harness.countEvents(SCHEDULING_EVENTS.TRIAL_STARTED), 1);
        await kill();
        await sleep(SETTLED_MS);
        const counted = harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION);
        assert.equal(counted, 1);
        await harness.start('vm-2');
        await waitFor(
          'the crash counts or the task starts again',
          () =>
            harness.listRuns(deadly).length > 2 ||
            harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION) > counted,
        );
        assert.equal(harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION), 2);
      } finally {
        await harness.close();
      }
    });
  });
}

describe('A minion that starts again under its id while the list is read', () => {
  it('keeps the starts of its killed owner that it may carry out late', async () => {
    const harness = new TakeoverHarness();
    try {
      const machines = harness.addMachineList();
      const minion = harness.addMinion('m1');
      const {id} = minion.description;
      const faults = harness.fleet.faults(id);
      const first = await harness.startKillable('vm-1');
      await waitFor('the minion has reported', () => minion.answeredPolls > 3);
      faults.startDelayMs = START_DELAY_MS;
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await sleep(SETTLED_MS);
      faults.isUnreachable = true;
      await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
      await first.kill();
      let answer = (): void => undefined;
      const answered = new Promise<void>((resolve) => {
        answer = resolve;
      });
      const other = harness.addMinion('m2');
      machines.list = () => {
        machines.calls += 1;
        const occupants = new Map([[brand<MachineId>('machine of m2'), brand<MinionId>('m2')]]);
        const isFirst = machines.calls === 1;
        return ResultAsync.fromSafePromise(isFirst ? Promise.resolve() : answered).map(
          () => occupants,
        );
      };
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      await harness.start('vm-2');
      await waitFor('the second list is asked for', () => machines.calls === 2);
      minion.restart(2, harness.clock.monotonic());
      harness.fleet.add(minion);
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1, 10_000);
      answer();
      await sleep(LISTS_MS);
      assert.equal(other.liveTasks.length, 0);
    } finally {
      await harness.close();
    }
  });
});

describe('A minion that is cut off and up', () => {
  let harness: TakeoverHarness;
  let machines: EmulatedMachineList;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    machines = harness.addMachineList();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets an owner take over that can't reach the minion, and returns another one that it reaches. */
  async function takeOverWithList(occupants: MachineOccupants): Promise<EmulatedMinion> {
    const first = await harness.startKillable('vm-1');
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await sleep(SETTLED_MS);
    await first.kill();
    harness.fleet.faults(minion.description.id).isUnreachable = true;
    machines.list = () => {
      machines.calls += 1;
      return okAsync(occupants);
    };
    harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
    const other = harness.addMinion('m2');
    await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await waitFor('lists', () => machines.calls > 1, REACTION_MS);
    await sleep(LISTS_MS);
    return other;
  }

  it('keeps its runs when its entry names the machine of another minion', async () => {
    const {id} = minion.description;
    minion.description = {...minion.description, machine: brand<MachineId>('machine of m2')};
    harness.fleet.add(minion);
    const occupants = new Map<MachineId, MinionId>([
      [brand<MachineId>('machine of m1'), id],
      [brand<MachineId>('machine of m2'), brand<MinionId>('m2')],
    ]);
    const other = await takeOverWithList(occupants);
    assert.deepEqual([minion.liveTasks.length, other.liveTasks.length], [1, 0]);
  });

  it('keeps its runs when the lists lack minions that respond', async () => {
    const other = await takeOverWithList(new Map());
    assert.deepEqual([minion.liveTasks.length, other.liveTasks.length], [1, 0]);
  });
});
