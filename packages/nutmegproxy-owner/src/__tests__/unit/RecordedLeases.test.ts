import type {Instant, JobId, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run, RunNumber, StepShape, StepState, StoredJob} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {Fleet, MinionState} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {
  adoptRecordedRuns,
  createSilentRecord,
  holdUnconfirmedStarts,
  shortenRecordedLeases,
} from '../../SilentRecords.ts';

const JOB = brand<JobId>('3f6718a4051e2adb');
const NOW = 1_000 as Instant;
/** Time in milliseconds that a minion takes at most to end a lease of 10 s. */
const LONGEST_LEASE_MS = 10_460;
const SHAPE = {
  after: [],
  count: 2,
  resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
} as Partial<StepShape> as StepShape;
const CONFIRMED = [`${JOB}.0.0.0`, 1 as RunNumber] as const;
const UNCONFIRMED = [`${JOB}.0.0.1`, 1 as RunNumber] as const;
const RUNS = [CONFIRMED, UNCONFIRMED];

describe('The leases of the runs of a silent minion', () => {
  let fleet: Fleet;
  let minion: MinionState;
  let step: StepState;

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    const job = new JobState({id: JOB, steps: [SHAPE]} as Partial<StoredJob> as StoredJob, 1);
    fleet.jobs.set(JOB, job);
    minion = new MinionState({
      capacity: {cpuMilli: 2_000, gpus: 0, memoryMb: 200},
      id: brand<MinionId>('m1'),
    } as Partial<MinionDescription> as MinionDescription);
    fleet.minions.set(minion.id, minion);
    const [first] = job.occurrence(0) ?? [];
    assert.ok(first);
    step = first;
  });

  function findRun(index: number): Run | undefined {
    return step.runsOf(index)[0];
  }

  describe('in the record that an owner writes', () => {
    function listUnconfirmed(): unknown {
      const time = {now: NOW, wall: 0 as WallTime};
      return createSilentRecord(fleet, minion, [], time).unconfirmed;
    }

    it('are longer for a start that may have reached a later incarnation', () => {
      fleet.startRun(step, 0, minion, NOW).knownFrom = 'listing';
      fleet.startRun(step, 1, minion, NOW);
      assert.deepEqual(listUnconfirmed(), [UNCONFIRMED]);
    });

    it('count for owners of earlier versions until that start holds none', () => {
      fleet.startRun(step, 0, minion, NOW);
      holdUnconfirmedStarts(minion);
      const time = {now: NOW, wall: 50_000 as WallTime};
      const {heldUntil} = createSilentRecord(fleet, minion, [], time);
      assert.ok(heldUntil - time.wall >= LONGEST_LEASE_MS);
    });

    it('are not longer for listed runs', () => {
      fleet.startRun(step, 0, minion, NOW).knownFrom = 'listing';
      assert.equal(listUnconfirmed(), undefined);
    });
  });

  describe('in a record that an owner adopts', () => {
    it('expire first for the runs that are not unconfirmed', () => {
      const recorded = {confirmedMs: 3_000, remainingMs: 9_000, runs: RUNS};
      adoptRecordedRuns(fleet, minion, {...recorded, unconfirmed: [UNCONFIRMED]}, NOW);
      assert.deepEqual([findRun(0)?.leasedUntil, findRun(1)?.leasedUntil], [4_000, undefined]);
      assert.equal(minion.leaseClock.expiresInMs(NOW), 9_000);
    });

    it('have expired for these runs while the other one is held', () => {
      const recorded = {confirmedMs: 0, remainingMs: 9_000, runs: RUNS};
      adoptRecordedRuns(fleet, minion, {...recorded, unconfirmed: [UNCONFIRMED]}, NOW);
      assert.deepEqual([findRun(0), findRun(1)?.number], [undefined, 1]);
    });

    it('expire earlier for the runs that a later account does not list as unconfirmed', () => {
      adoptRecordedRuns(fleet, minion, {remainingMs: 9_000, runs: RUNS}, NOW);
      const account = {confirmedForMs: 2_000, heldForMs: 9_000, id: minion.id, runs: RUNS};
      shortenRecordedLeases(minion, {...account, unconfirmed: [UNCONFIRMED]}, NOW);
      assert.deepEqual([findRun(0)?.leasedUntil, findRun(1)?.leasedUntil], [3_000, undefined]);
    });

    it('are the longest for all runs where no time is known', () => {
      adoptRecordedRuns(fleet, minion, {remainingMs: 9_000, runs: RUNS}, NOW);
      assert.deepEqual([findRun(0)?.leasedUntil, findRun(1)?.leasedUntil], [undefined, undefined]);
    });

    it('are the longest for all runs where an earlier version names no unconfirmed ones', () => {
      adoptRecordedRuns(fleet, minion, {confirmedMs: 0, remainingMs: 9_000, runs: RUNS}, NOW);
      assert.deepEqual([findRun(0)?.number, findRun(1)?.number], [1, 1]);
    });
  });
});
