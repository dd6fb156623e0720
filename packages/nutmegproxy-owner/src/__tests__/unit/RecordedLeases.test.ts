import type {Instant, JobId, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run, RunNumber, StepShape, StepState, StoredJob} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES, Fleet, MinionState, reconcileListing} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {Roster} from '../../Roster.ts';

import {expireRuns} from '../../LeaseEnds.ts';
import {adoptRecordedRuns, createSilentRecord, shortenRecordedLeases} from '../../SilentRecords.ts';

const JOB = brand<JobId>('3f6718a4051e2adb');
const NOW = 1_000 as Instant;
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
    minion = new MinionState(
      {
        capacity: {cpuMilli: 2_000, gpus: 0, memoryMb: 200},
        id: brand<MinionId>('m1'),
      } as Partial<MinionDescription> as MinionDescription,
      DEFAULT_LEASE_TIMES,
    );
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

    it('are longer for a listed run of which another start had no response shortly before', () => {
      const run = fleet.startRun(step, 1, minion, NOW);
      run.knownFrom = 'listing';
      run.unansweredAt = NOW;
      assert.deepEqual(listUnconfirmed(), [UNCONFIRMED]);
      run.unansweredAt = (NOW - DEFAULT_LEASE_TIMES.maxStartLeaseMs) as Instant;
      assert.equal(listUnconfirmed(), undefined);
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

  describe('in a record that an owner has adopted', () => {
    let timesStored: number;

    /** Ends the runs whose own leases have expired at `confirmedAt`. */
    function expire(confirmedAt: Instant): void {
      const roster = {
        storeTimes: () => {
          timesStored += 1;
        },
      } as Partial<Roster> as Roster;
      expireRuns({events: SILENT_EVENTS, fleet, roster}, minion, confirmedAt);
    }

    beforeEach(() => {
      timesStored = 0;
      const recorded = {confirmedMs: 3_000, remainingMs: 9_000, runs: RUNS};
      adoptRecordedRuns(fleet, minion, {...recorded, unconfirmed: [UNCONFIRMED]}, NOW);
    });

    it('end the runs that are not unconfirmed, and the next owner is told', () => {
      expire(3_999 as Instant);
      assert.deepEqual([findRun(0)?.number, timesStored], [1, 0]);
      expire(4_000 as Instant);
      assert.deepEqual([findRun(0), findRun(1)?.number, timesStored], [undefined, 1, 1]);
    });

    it('do not end a run that its minion has listed since', () => {
      const run = findRun(0);
      assert.ok(run);
      const {number, task} = run;
      const report = {checkpoint: undefined, number, percent: 100, reading: undefined, task};
      const listing = {clockMs: 0, ended: [], mayOmitResults: false, running: [report]};
      const times = {appliedThrough: 0, now: 2_000 as Instant, requestedAt: NOW};
      reconcileListing(fleet, minion, {...listing, bornAt: undefined}, times);
      expire(4_000 as Instant);
      assert.equal(findRun(0), run);
    });
  });
});
