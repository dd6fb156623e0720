import {STATE_PREFIX} from '@nutmegproxy/jobs';
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
import {waitForRecord} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const CLOSING_KEY = `${STATE_PREFIX}closing`;
const RECOVERY_KEY = `${STATE_PREFIX}recovery`;
const FAILED_MS = 50;
/** Longer than the last attempt of a task waits. */
const RETRY_MS = 13_000;
/** Longer than a lease with its margins lasts. */
const LEASE_MS = 12_000;
/** Longest time in milliseconds from the last change of a minion to the start of a task that waits for it. */
const MAX_WAIT_MS = 10_000;
/** Time in real milliseconds in which an owner stores what has changed. */
const SETTLED_MS = 500;
const STEP_MS = 250;
const PAUSE_MS = 30;

describe('A task whose last attempt is on a minion that was silent until its lease expired', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;
  let other: EmulatedMinion;
  let owner: KillableOwner;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    minion = new EmulatedMinion(createMinionDescription('m1'), (_task, number) =>
      number === 1
        ? {durationMs: FAILED_MS, outcome: 'failed'}
        : {durationMs: Infinity, outcome: 'done'},
    );
    harness.fleet.add(minion);
    owner = await harness.startKillable('vm-1');
    await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
    await waitFor('the task runs', () => minion.records.length === 1);
    await pass(owner.started, RETRY_MS);
    await waitFor('the task runs on its last attempt', () => minion.liveTasks.length === 1);
    const {answeredPolls} = minion;
    await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 2);
    other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 2);
    await harness.cutOff(minion);
    await pass(owner.started, LEASE_MS);
    assert.equal(countRuns(), 2, 'runs while the result of the last attempt is not known');
  });

  afterEach(async () => {
    await harness.close();
  });

  function pass({ownership}: StartedOwner, totalMs: number): Promise<void> {
    return harness.passTime(ownership, totalMs, STEP_MS, PAUSE_MS);
  }

  function countRuns(): number {
    return minion.records.length + other.records.length;
  }

  async function assertStarts(started: StartedOwner): Promise<void> {
    await pass(started, MAX_WAIT_MS);
    assert.equal(countRuns(), 3);
  }

  it('starts within ten seconds of the return of the minion', async () => {
    harness.fleet.faults(minion.description.id).isUnreachable = false;
    await assertStarts(owner.started);
  });

  it('starts within ten seconds of the restart of the minion', async () => {
    minion.restart(2, harness.clock.monotonic());
    harness.fleet.add(minion);
    await assertStarts(owner.started);
  });

  it('starts within ten seconds of the removal of the entry of the minion', async () => {
    harness.fleet.remove(minion.description.id);
    await assertStarts(owner.started);
  });

  it('starts within ten seconds of the start of another minion at the address, although its entry stays', async () => {
    const id = minion.description.id;
    harness.fleet.faults(id).isUnreachable = false;
    harness.fleet.replace(id, other);
    await assertStarts(owner.started);
  });

  it('does not start under owners after a planned stop while the minion is silent', async () => {
    await sleep(SETTLED_MS);
    await harness.stopAsPlanned(owner.started);
    await waitForRecord(harness.store, CLOSING_KEY, (text) => text.includes('"term":0'));
    const second = await harness.startKillable('vm-2');
    await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"term":1'));
    await sleep(SETTLED_MS);
    await second.kill();
    const third = await harness.start('vm-3');
    await pass(third, LEASE_MS);
    assert.equal(countRuns(), 2, 'runs while the result of the last attempt is not known');
    harness.fleet.faults(minion.description.id).isUnreachable = false;
    await assertStarts(third);
  });

  it('starts within ten seconds of the return of the minion under the next owner', async () => {
    await sleep(SETTLED_MS);
    await owner.kill();
    const next = await harness.start('vm-2');
    await pass(next, LEASE_MS);
    assert.equal(countRuns(), 2, 'runs while the result of the last attempt is not known');
    harness.fleet.faults(minion.description.id).isUnreachable = false;
    await assertStarts(next);
  });
});
