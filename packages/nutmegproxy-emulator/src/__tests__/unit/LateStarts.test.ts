import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {deriveLeaseTimes} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner, WaitingVm} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const OWNERSHIP_KEPT_MS = 2_000;
/** Uptime in milliseconds of the minion, so that the clock of its next incarnation is lower. */
const UPTIME_MS = 100_000;
/** Time in milliseconds after the end of the former ownership at which its start is carried out. */
const LATE_MS = 400;
/** Time in real milliseconds after which a minion carries out a start that it has not responded to. */
const START_DELAY_MS = 1_500;
const WAIT_MARGIN_MS = 3_000;
const SETTLED_MS = 300;
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

describe('A start that a later incarnation carries out', () => {
  let first: KillableOwner;
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    harness.clock.advance(UPTIME_MS);
  });

  afterEach(async () => {
    await harness.close();
  });

  function addMinion(name: string): EmulatedMinion {
    return harness.addMinion(name, undefined, {
      clockLagRate: 0.02,
      expiryLatenessMs: 250,
      maxMinionLeaseMs: harness.leaseTimes.maxMinionLeaseMs,
      restartClockMs: 0,
    });
  }

  function setReachable(isReachable: boolean): void {
    harness.fleet.faults(minion.description.id).isUnreachable = !isReachable;
  }

  /** Lets the first owner send a start without a response to a minion that it does not reach any more. */
  async function loseStart(maxMinionLeaseMs: number): Promise<void> {
    harness.leaseTimes = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
    minion = addMinion('m1');
    first = await harness.startKillable('vm-1');
    await harness.runLastingTask(minion);
    harness.fleet.faults(minion.description.id).startDelayMs = START_DELAY_MS;
    await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
    await waitFor('a start got no response', () =>
      harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
    );
    setReachable(false);
  }

  async function beginLaterIncarnation(): Promise<void> {
    minion.restart(2, harness.clock.monotonic());
    await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
  }

  async function end({kill, started}: KillableOwner, kind: string): Promise<void> {
    await (kind === 'killed' ? kill(OWNERSHIP_KEPT_MS) : harness.stopAsPlanned(started));
    await sleep(SETTLED_MS);
  }

  /** Lets a VM that does not reach the minion own the fleet until no lease is left. */
  async function assertNoTwoRuns(next: WaitingVm): Promise<void> {
    next.isAllowed = true;
    await waitFor('the VM owns the fleet', () => next.ownership !== undefined);
    const other = addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    assert.ok(next.ownership);
    const waitMs = harness.leaseTimes.maxFormerStartLeaseMs + WAIT_MARGIN_MS;
    for (let passedMs = 0; passedMs < waitMs; passedMs += STEP_MS) {
      await harness.passTime(next.ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      minion.advance(harness.clock.monotonic());
      const live = [...minion.liveTasks, ...other.liveTasks];
      assert.equal(new Set(live).size, live.length, `two live runs after ${passedMs} ms`);
    }
  }

  describe('right after the former ownership has ended', () => {
    for (const maxMinionLeaseMs of [6_000, 10_000, 20_000]) {
      for (const kind of ['killed', 'stopped as planned']) {
        it(`never leads to two live runs of a task when the owner is ${kind} and minions accept ${maxMinionLeaseMs} ms`, async () => {
          await loseStart(maxMinionLeaseMs);
          const next = harness.startWaitingVm('vm-2');
          await end(first, kind);
          harness.clock.advance(LATE_MS);
          await beginLaterIncarnation();
          await assertNoTwoRuns(next);
        });
      }
    }
  });

  describe('and whose lease another owner has found', () => {
    for (const maxMinionLeaseMs of [6_000, 10_000, 20_000]) {
      for (const kind of ['killed', 'stopped as planned']) {
        it(`never leads to two live runs of a task when that owner is ${kind} and minions accept ${maxMinionLeaseMs} ms`, async () => {
          await loseStart(maxMinionLeaseMs);
          await beginLaterIncarnation();
          await end(first, 'killed');
          setReachable(true);
          const {answeredPolls} = minion;
          const second = await harness.startKillable('vm-2');
          await waitFor('it reaches the minion', () => minion.answeredPolls > answeredPolls);
          setReachable(false);
          const third = harness.startWaitingVm('vm-3');
          await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
          await third.observe();
          await end(second, kind);
          await assertNoTwoRuns(third);
        });
      }
    }
  });
});
