import {STATE_PREFIX} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {isWriteOf, ROSTER_KEY, waitForRecord, waitForRoster} from './StoreSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

const RECOVERY_KEY = `${STATE_PREFIX}recovery`;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
/** Time in milliseconds for which the roster can't be stored; longer than a lease. */
const OUTAGE_MS = 16_000;
const STEP_MS = 250;
const STEP_PAUSE_MS = 50;

describe('A draining minion that reports to an owner that has not stored its draining record', () => {
  let areRosterWritesFailing: boolean;
  let draining: EmulatedMinion;
  let harness: TakeoverHarness;

  beforeEach(() => {
    areRosterWritesFailing = true;
    harness = new TakeoverHarness();
    draining = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets the minion drain under an owner that stores its record and is killed. */
  async function drainUnder(first: KillableOwner): Promise<void> {
    draining.description = {...draining.description, isDraining: true};
    harness.fleet.add(draining);
    await waitForRoster(harness.store, (roster) => roster.includes('"draining"'));
    await first.kill();
  }

  /** Starts the next owner, and waits until the minion has reported to it. */
  async function takeOver(): Promise<KillableOwner> {
    const second = await harness.startKillable(
      'vm-2',
      (args) => areRosterWritesFailing && isWriteOf(ROSTER_KEY, args),
    );
    const {answeredPolls} = draining;
    await waitFor('the minion has reported', () => draining.answeredPolls > answeredPolls + 5);
    await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"term":1'));
    return second;
  }

  it('holds no task when that owner is killed and the minion has left', async () => {
    const first = await harness.startKillable('vm-1');
    await waitFor('the minion has reported', () => draining.answeredPolls > 0);
    await drainUnder(first);
    const second = await takeOver();
    await second.kill();
    harness.fleet.remove(draining.description.id);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    const other = harness.addMinion('m2');
    await harness.start('vm-3');
    // The clock stands still, so that no lease expires.
    await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
  });

  it('keeps its running tasks until that is stored, and is then recorded as used', async () => {
    const first = await harness.startKillable('vm-1');
    await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
    await waitFor('the task runs', () => draining.liveTasks.length === 1);
    await drainUnder(first);
    const {started} = await takeOver();
    await harness.passTime(started.ownership, OUTAGE_MS, STEP_MS, STEP_PAUSE_MS);
    assert.equal(draining.liveTasks.length, 1);
    areRosterWritesFailing = false;
    await waitForRoster(harness.store, (roster) => roster.includes('"term":1'));
    await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"used":["m1"]'));
    assert.deepEqual(
      draining.records.map(({outcome}) => outcome),
      [undefined],
    );
  });
});
