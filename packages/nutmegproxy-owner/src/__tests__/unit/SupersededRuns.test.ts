import type {Instant} from '@nutmegproxy/core';
import type {JobState, RunNumber, StepState, TaskRef} from '@nutmegproxy/jobs';
import type {MinionListing, MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';
import {Fleet, reconcileListing} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {adoptRecordedRuns} from '../../SilentRecords.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const NOW = 0 as Instant;
const FIRST = 1_001 as RunNumber;
const SECOND = 1_002 as RunNumber;

describe('A task with a run in the record of a former owner and a later one on another minion', () => {
  let fleet: Fleet;
  let earlier: MinionState;
  let later: MinionState;
  let step: StepState;
  let task: TaskRef;

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    fleet.runNumberBase = 2_001;
    earlier = createMinion('m1');
    later = createMinion('m2');
    for (const minion of [earlier, later]) {
      fleet.minions.set(minion.id, minion);
    }
    step = createStep(1);
    const job: JobState = step.job;
    fleet.jobs.set(job.id, job);
    task = {index: 0, job: job.id, occurrence: 0, step: 0};
  });

  function adopt(minion: MinionState, number: RunNumber): void {
    adoptRecordedRuns(
      fleet,
      minion,
      {remainingMs: 5_000, runs: [[formatTaskName(task), number]]},
      NOW,
    );
  }

  /** Lets a minion list the run as failed. */
  function fail(minion: MinionState, number: RunNumber): void {
    const listing: MinionListing = {
      bornAt: undefined,
      clockMs: 0,
      ended: [{checkpoint: undefined, number, outcome: 'failed', sequence: 1, task}],
      mayOmitResults: false,
      running: [],
    };
    reconcileListing(fleet, minion, listing, {appliedThrough: 0, now: NOW, requestedAt: NOW});
  }

  it('counts both as attempts when the later one is known first and has failed', () => {
    adopt(later, SECOND);
    adopt(earlier, FIRST);
    fail(later, SECOND);
    assert.equal(step.countPossibleFailures(0), 2);
  });

  it('counts both as attempts when the earlier one is known first', () => {
    adopt(earlier, FIRST);
    adopt(later, SECOND);
    fail(later, SECOND);
    assert.equal(step.countPossibleFailures(0), 2);
  });

  it('counts the earlier one once its minion has listed what became of it', () => {
    adopt(later, SECOND);
    adopt(earlier, FIRST);
    fleet.clearUnknownResults(earlier);
    fail(later, SECOND);
    assert.equal(step.countPossibleFailures(0), 1);
  });

  it('counts two runs on one minion as two attempts once its lease has expired', () => {
    adopt(earlier, FIRST);
    adopt(earlier, SECOND);
    const [run] = step.runsOf(0);
    assert.ok(run);
    fleet.recordUnknownResult(step, 0, run.number, earlier);
    fleet.recordLostRun(run, 'hold lapsed');
    assert.equal(step.countPossibleFailures(0), 2);
  });

  it('counts a failure once that a record names too', () => {
    adopt(later, SECOND);
    adopt(earlier, FIRST);
    step.markFailed(0, FIRST);
    assert.equal(step.countPossibleFailures(0), 1);
  });
});
