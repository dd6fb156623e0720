import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {deriveLeaseTimes} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const OWNERSHIP_KEPT_MS = 2_000;
/** Uptime in milliseconds of the minion, so that the clock of its next incarnation is lower. */
const UPTIME_MS = 100_000;
/** Time in real milliseconds after which a minion carries out a start that it has not responded to. */
const START_DELAY_MS = 1_500;
const WAIT_MARGIN_MS = 3_000;
const SETTLED_MS = 300;
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

describe('The lease of a start in a later incarnation that another owner than its sender has reached', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
    harness.clock.advance(UPTIME_MS);
  });

  afterEach(async () => {
    await harness.close();
  });

  for (const maxMinionLeaseMs of [6_000, 10_000, 20_000]) {
    for (const kind of ['killed', 'stopped as planned']) {
      it(`never leads to two live runs of a task when that owner is ${kind} and minions accept ${maxMinionLeaseMs} ms`, async () => {
        harness.leaseTimes = deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
        const bounds = {
          clockLagRate: 0.02,
          expiryLatenessMs: 250,
          maxMinionLeaseMs,
          restartClockMs: 0,
        };
        const minion = harness.addMinion('m1', undefined, bounds);
        const first = await harness.startKillable('vm-1');
        await harness.runLastingTask(minion);
        const faults = harness.fleet.faults(minion.description.id);
        faults.startDelayMs = START_DELAY_MS;
        await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
        await waitFor('a start got no response', () =>
          harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
        );
        faults.isUnreachable = true;
        minion.restart(2, harness.clock.monotonic());
        await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
        await first.kill(OWNERSHIP_KEPT_MS);
        faults.isUnreachable = false;
        const {answeredPolls} = minion;
        const second = await harness.startKillable('vm-2');
        await waitFor(
          'the second owner has reached it',
          () => minion.answeredPolls > answeredPolls,
        );
        faults.isUnreachable = true;
        const third = harness.startWaitingVm('vm-3');
        await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
        await third.observe();
        await (kind === 'killed'
          ? second.kill(OWNERSHIP_KEPT_MS)
          : harness.stopAsPlanned(second.started));
        third.isAllowed = true;
        await waitFor('the VM owns the fleet', () => third.ownership !== undefined);
        const other = harness.addMinion('m2', undefined, bounds);
        await waitFor('the other minion has reported', () => other.answeredPolls > 0);
        await sleep(SETTLED_MS);
        assert.ok(third.ownership);
        const waitMs = harness.leaseTimes.maxFormerStartLeaseMs + WAIT_MARGIN_MS;
        for (let passedMs = 0; passedMs < waitMs; passedMs += STEP_MS) {
          await harness.passTime(third.ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
          minion.advance(harness.clock.monotonic());
          const live = [...minion.liveTasks, ...other.liveTasks];
          assert.equal(new Set(live).size, live.length, `two live runs after ${passedMs} ms`);
        }
      });
    }
  }
});
