import {OWNER_EVENTS} from '@nutmegproxy/owner';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner, WaitingVm} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {RESTART_DEADLINE_MS} from './LastingTaskScenario.ts';
import {waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds for which a killed owner keeps the ownership. */
const OWNERSHIP_KEPT_MS = 2_000;
/** Time in milliseconds for which the minion has been silent when its owner stops. */
const SILENT_FOR_MS = 3_000;
/** Time in milliseconds that a minion takes at most to end a lease of 10 s. */
const LONGEST_LEASE_MS = 10_460;
/** Time in milliseconds after which no lease of a former owner lasts. */
const LONGEST_WAIT_MS = 20_000;
/** Time in real milliseconds after which a minion carries out a start that it has not responded to. */
const START_DELAY_MS = 1_500;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Time in milliseconds that passes in each step, and the real pause after it. */
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

/** Lets a minion begin an incarnation on whose clock a start for the one before asks for the longest lease. */
function beginLaterIncarnation(minion: EmulatedMinion, nowMs: number): void {
  minion.restart(2, nowMs);
  const start = minion.start.bind(minion);
  minion.start = (order, sentAtMs) =>
    start({...order, untilMs: sentAtMs + LONGEST_LEASE_MS}, sentAtMs);
}

describe('A start without a response to a minion that does not respond any more', () => {
  let first: KillableOwner;
  let harness: TakeoverHarness;
  let listedTask: string;
  let minion: EmulatedMinion;
  let next: WaitingVm;

  /** Lets the minion list a lasting run and not respond to the start of another one. */
  beforeEach(async () => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
    first = await harness.startKillable('vm-1');
    await harness.runLastingTask(minion);
    listedTask = minion.liveTasks.join();
    next = harness.startWaitingVm('vm-2');
    harness.fleet.faults(minion.description.id).startDelayMs = START_DELAY_MS;
    await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
    await waitFor('a start got no response', () =>
      harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
    );
  });

  afterEach(async () => {
    await harness.close();
  });

  async function loseContact(): Promise<void> {
    harness.fleet.faults(minion.description.id).isUnreachable = true;
    await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
    await next.observe();
  }

  async function killOwner(): Promise<void> {
    await first.kill(OWNERSHIP_KEPT_MS);
  }

  /** Lets the next VM acquire the ownership, with another minion that has room. */
  async function takeOver(): Promise<EmulatedMinion> {
    next.isAllowed = true;
    await waitFor('the VM owns the fleet', () => next.ownership !== undefined);
    const other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    return other;
  }

  /** Lets time pass; no task may have two live runs meanwhile. */
  async function pass(
    totalMs: number,
    minions: readonly EmulatedMinion[],
    ownership = next.ownership,
  ): Promise<void> {
    assert.ok(ownership);
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      await harness.passTime(ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      const live = minions.flatMap((each) => {
        each.advance(harness.clock.monotonic());
        return each.liveTasks;
      });
      assert.equal(new Set(live).size, live.length, 'two live runs of a task');
    }
  }

  describe('which is lost for good', () => {
    it('does not hold the lasting task that the minion had listed', async () => {
      await loseContact();
      minion.crash(Infinity, harness.clock.monotonic());
      await killOwner();
      const other = await takeOver();
      await pass(RESTART_DEADLINE_MS - OWNERSHIP_KEPT_MS, [other]);
      await waitFor('it runs again', () => other.liveTasks.includes(listedTask), REACTION_MS);
    });

    it('does not hold that task when the owner stops as planned at the same time', async () => {
      minion.crash(Infinity, harness.clock.monotonic());
      await harness.stopAsPlanned(first.started);
      const other = await takeOver();
      await pass(RESTART_DEADLINE_MS, [other]);
      await waitFor('it runs again', () => other.liveTasks.includes(listedTask), REACTION_MS);
    });

    it('does not hold that task when the owner has recorded it as silent and stops as planned', async () => {
      await loseContact();
      minion.crash(Infinity, harness.clock.monotonic());
      harness.clock.advance(SILENT_FOR_MS);
      await harness.stopAsPlanned(first.started);
      // This VM does not know when the records were stored.
      next = harness.startWaitingVm('vm-3');
      const other = await takeOver();
      await pass(RESTART_DEADLINE_MS - SILENT_FOR_MS, [other]);
      await waitFor('it runs again', () => other.liveTasks.includes(listedTask), REACTION_MS);
    });
  });

  describe('which its owner does not reach', () => {
    it('never leads to two live runs of a task when it reaches a later incarnation', async () => {
      await loseContact();
      beginLaterIncarnation(minion, harness.clock.monotonic());
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
      const other = harness.addMinion('m2');
      await pass(LONGEST_WAIT_MS, [minion, other], first.started.ownership);
      await waitFor('both tasks run again', () => other.liveTasks.length === 2, REACTION_MS);
    });

    it('does not hold the lasting task that the minion had listed', async () => {
      await loseContact();
      minion.crash(Infinity, harness.clock.monotonic());
      const other = harness.addMinion('m2');
      await pass(RESTART_DEADLINE_MS, [other], first.started.ownership);
      await waitFor('it runs again', () => other.liveTasks.includes(listedTask), REACTION_MS);
    });
  });

  describe('which the next owner does not reach', () => {
    it('never leads to two live runs of a task when it reaches the same incarnation', async () => {
      await loseContact();
      await waitFor('the start is carried out', () => minion.liveTasks.length === 2);
      await killOwner();
      const other = await takeOver();
      await pass(LONGEST_WAIT_MS, [minion, other]);
      await waitFor('both tasks run again', () => other.liveTasks.length === 2, REACTION_MS);
    });

    it('never leads to two live runs of a task when it reaches a later incarnation', async () => {
      await loseContact();
      beginLaterIncarnation(minion, harness.clock.monotonic());
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
      await killOwner();
      const other = await takeOver();
      await pass(LONGEST_WAIT_MS, [minion, other]);
      await waitFor('both tasks run again', () => other.liveTasks.length === 2, REACTION_MS);
    });

    it('never leads to two live runs of a task when a later incarnation runs it as the former ownership ends', async () => {
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      await killOwner();
      beginLaterIncarnation(minion, harness.clock.monotonic());
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
      const other = await takeOver();
      await pass(LONGEST_WAIT_MS, [minion, other]);
      await waitFor('both tasks run again', () => other.liveTasks.length === 2, REACTION_MS);
    });

    it('never leads to two live runs of a task when the owner stops as planned', async () => {
      await loseContact();
      beginLaterIncarnation(minion, harness.clock.monotonic());
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
      await harness.stopAsPlanned(first.started);
      const other = await takeOver();
      await pass(LONGEST_WAIT_MS, [minion, other]);
    });

    it('never leads to two live runs of a task when the owner stops as planned at the same time', async () => {
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      beginLaterIncarnation(minion, harness.clock.monotonic());
      await harness.stopAsPlanned(first.started);
      await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
      const other = await takeOver();
      await pass(LONGEST_WAIT_MS, [minion, other]);
    });
  });
});
