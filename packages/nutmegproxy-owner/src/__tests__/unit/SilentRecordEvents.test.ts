import type {EventFields, EventKind, Instant, JobId, MinionId} from '@nutmegproxy/core';
import type {RunNumber, StepShape, StoredJob} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES, Fleet, MinionState, SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {adoptRecordedRuns} from '../../SilentRecords.ts';

const JOB = brand<JobId>('3f6718a4051e2adb');
const NOW = 0 as Instant;

describe('adoptRecordedRuns', () => {
  it('names all runs of a silent record in one event', () => {
    const events: {fields: EventFields; kind: EventKind}[] = [];
    const fleet = new Fleet({
      record: (kind, fields) => {
        events.push({fields, kind});
      },
    });
    const shape = {
      after: [],
      count: 3,
      resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
    } as Partial<StepShape> as StepShape;
    fleet.jobs.set(
      JOB,
      new JobState({id: JOB, steps: [shape]} as Partial<StoredJob> as StoredJob, 1),
    );
    const minion = new MinionState(
      {id: brand<MinionId>('m1')} as MinionDescription,
      DEFAULT_LEASE_TIMES,
    );
    fleet.minions.set(minion.id, minion);
    const runs = [0, 1, 2].map((index): [string, RunNumber] => [
      `${JOB}.0.0.${index}`,
      (index + 1) as RunNumber,
    ]);
    adoptRecordedRuns(fleet, minion, {remainingMs: 5_000, runs}, NOW);
    const named = runs.map(([name, number]) => `${name}/${number}`).join(' ');
    assert.deepEqual(events, [
      {fields: {minion: 'm1', named, runs: 3}, kind: SCHEDULING_EVENTS.RUNS_ADOPTED},
    ]);
  });
});
