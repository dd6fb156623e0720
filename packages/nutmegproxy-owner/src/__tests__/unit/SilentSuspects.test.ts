import type {Instant, JobId, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run, StepShape, StoredJob} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES, Fleet, MinionState} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {SuspectRuns} from '../../RosterEntry.ts';

import {createSilentRecord} from '../../SilentRecords.ts';

const JOB = brand<JobId>('3f6718a4051e2adb');
const BORN_AT = 7;
const SHAPE = {
  after: [],
  count: 1,
  resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
} as Partial<StepShape> as StepShape;

describe('createSilentRecord', () => {
  let fleet: Fleet;
  let minion: MinionState;
  let run: Run;

  function listSuspects(): SuspectRuns | undefined {
    const time = {now: 2_000 as Instant, wall: 0 as WallTime};
    return createSilentRecord(fleet, minion, [], time).suspects;
  }

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    const job = new JobState({id: JOB, steps: [SHAPE]} as Partial<StoredJob> as StoredJob, 1);
    fleet.jobs.set(JOB, job);
    minion = new MinionState(
      {
        bornAt: BORN_AT,
        capacity: SHAPE.resources,
        id: brand<MinionId>('m1'),
        isDraining: false,
      } as Partial<MinionDescription> as MinionDescription,
      DEFAULT_LEASE_TIMES,
    );
    fleet.minions.set(minion.id, minion);
    const [step] = job.occurrence(0) ?? [];
    assert.ok(step);
    run = fleet.startRun(step, 0, minion, 0 as Instant);
    run.confirmedAt = 0 as Instant;
    minion.lastAnswerAt = 100 as Instant;
  });

  it('names a run that had just started as suspect of a crash of this incarnation', () => {
    assert.deepEqual(listSuspects(), {bornAt: BORN_AT, runs: [[`${JOB}.0.0.0`, 1]]});
  });

  it('names no run that had been live for long', () => {
    minion.lastAnswerAt = 1_000 as Instant;
    assert.equal(listSuspects(), undefined);
  });

  it('names no start that the minion had not confirmed', () => {
    run.confirmedAt = undefined;
    assert.equal(listSuspects(), undefined);
  });

  it('names no run of a minion that drains', () => {
    minion.description = {...minion.description, isDraining: true};
    assert.equal(listSuspects(), undefined);
  });
});
