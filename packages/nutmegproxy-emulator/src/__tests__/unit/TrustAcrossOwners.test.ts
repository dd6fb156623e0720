import type {JobId} from '@nutmegproxy/core';

import {decodeProgress, formatJobKey} from '@nutmegproxy/jobs';
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
import {TakeoverHarness} from './TakeoverHarness.ts';

/** Longest time in milliseconds from one trial of a minion that fails to the next one. */
const TRIAL_INTERVAL_MS = 4_000;
const TASK_MS = 50;
const STEP_MS = 100;
const PAUSE_MS = 20;
const OWNERS_AFTER_FIRST = 4;
/** Time in milliseconds in which a minion is found to fail, and shorter than its quarantine. */
const QUARANTINED_MS = 1_500;
const RESTARTED_AT = 5;

describe('Owners that follow one another beside minions that fail all they start', () => {
  let harness: TakeoverHarness;
  let owner: StartedOwner;
  let jobNumber = 0;
  const failing = new Set<EmulatedMinion>();
  const submitted: JobId[] = [];

  beforeEach(() => {
    harness = new TakeoverHarness();
    failing.clear();
    submitted.length = 0;
  });

  afterEach(async () => {
    await harness.close();
  });

  function addMinions(names: readonly string[]): EmulatedMinion[] {
    return names.map((name) => {
      const minion: EmulatedMinion = new EmulatedMinion(createMinionDescription(name), () => ({
        durationMs: TASK_MS,
        outcome: failing.has(minion) ? 'failed' : 'done',
      }));
      harness.fleet.add(minion);
      return minion;
    });
  }

  async function submit(): Promise<void> {
    jobNumber += 1;
    const job = createStoredJob(jobNumber, [createStepShape({count: 4})]);
    submitted.push(job.id);
    await submitJob(harness.store, job);
  }

  /** Lets time pass while jobs come. */
  async function pass(totalMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < totalMs; elapsedMs += STEP_MS) {
      await submit();
      await harness.passTime(owner.ownership, STEP_MS, STEP_MS, PAUSE_MS);
    }
  }

  function countFailures(): number {
    return [...harness.fleet.minions.values()]
      .flatMap(({records}) => records)
      .filter(({outcome}) => outcome === 'failed').length;
  }

  async function countFailedJobs(): Promise<number> {
    const stored = await Promise.all(
      submitted.map((id) => getKey(harness.store, formatJobKey(id, 'progress'))),
    );
    return stored.filter((each) => {
      const value = each._unsafeUnwrap()?.value;
      return value !== undefined && decodeProgress(value)._unsafeUnwrap().status === 'failed';
    }).length;
  }

  /** Lets an owner act for some time and kills it; the next one has taken over when this resolves. */
  async function actAndHandOver(vm: string, ownerMs: number): Promise<void> {
    const {kill, started} = await harness.startKillable(vm);
    owner = started;
    const before = [...harness.fleet.minions.values()].map(({answeredPolls}) => answeredPolls);
    await waitFor('the minions have reported', () =>
      [...harness.fleet.minions.values()].every(
        ({answeredPolls}, at) => answeredPolls > (before[at] ?? 0) + 2,
      ),
    );
    await pass(ownerMs);
    await kill();
  }

  for (const {faulty, ownerMs} of [
    {faulty: 1, ownerMs: 3_000},
    {faulty: 2, ownerMs: 3_000},
    {faulty: 2, ownerMs: 7_000},
  ]) {
    // Guards against attempts that are used up as each owner trusts failing minions anew.
    it(`gives each minion one run a trial (owners each ${ownerMs} ms, ${faulty} failing)`, async () => {
      const minions = addMinions(['m0', 'm1', 'm2', 'm3', 'm4']);
      minions.slice(0, faulty).forEach((minion) => failing.add(minion));
      await actAndHandOver('vm-0', ownerMs);
      const before = countFailures();
      const failedJobs = await countFailedJobs();
      assert.ok(before >= 2 * faulty, `${before} failures under the first owner`);
      for (let number = 1; number <= OWNERS_AFTER_FIRST; number += 1) {
        await actAndHandOver(`vm-${number}`, ownerMs);
      }
      const trials = Math.ceil((OWNERS_AFTER_FIRST * ownerMs) / TRIAL_INTERVAL_MS);
      const failures = countFailures() - before;
      assert.ok(failures <= faulty * trials, `${failures} failures in ${faulty * trials} trials`);
      assert.equal(await countFailedJobs(), failedJobs);
    });
  }

  describe('of which one restarts at a takeover', () => {
    for (const {isRestarted, name} of [
      {isRestarted: true, name: 'give the next incarnation work at once'},
      {isRestarted: false, name: 'give one that has not restarted none before its trial'},
    ]) {
      it(name, async () => {
        const [minion] = addMinions(['m0', 'm1', 'm2']);
        assert.ok(minion);
        failing.add(minion);
        await actAndHandOver('vm-0', QUARANTINED_MS);
        failing.clear();
        const starts = minion.records.length;
        if (isRestarted) {
          minion.restart(RESTARTED_AT, harness.clock.monotonic());
          harness.fleet.add(minion);
        }
        await actAndHandOver('vm-1', STEP_MS);
        assert.equal(minion.records.length > starts, isRestarted);
      });
    }
  });
});
