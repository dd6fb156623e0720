import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Run, RunNumber} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {createRun} from '../../FleetUtils.ts';
import {describeJobs, describeRuns, findNamedJobs} from '../../RunFields.ts';
import {SampleFleet, shape} from './Samples.ts';

/** Size of a write to a pipe that is never split, less the other parts of a log line, in bytes. */
const MAX_NAMED_BYTES = 3_584;
const MINION = brand<MinionId>('m1');

function createRuns(count: number): Run[] {
  const job = new SampleFleet(0).addJob('proofs', [shape({count})]);
  const step = job.occurrence(0)?.[0];
  assert.ok(step);
  return Array.from({length: count}, (_, index) => {
    const task = {index: 9_000 + index, job: job.id, occurrence: 1_000, step: 10};
    return createRun(step, task, 1_000_001 as RunNumber, MINION, 0 as Instant);
  });
}

describe('describeRuns', () => {
  it('names each run once, in lines that fit into one write', () => {
    const runs = createRuns(250);
    const events = describeRuns(MINION, runs);
    const lines = events.map(({named}) => String(named));
    assert.ok(lines.every((named) => named.length <= MAX_NAMED_BYTES));
    assert.deepEqual(
      lines.flatMap((named) => named.split(' ')),
      runs.map(({task}) => `${task.job}.1000.10.${task.index}/1000001`),
    );
    assert.deepEqual(
      events.map((fields) => fields.runs),
      lines.map((named) => named.split(' ').length),
    );
  });

  it('returns nothing for a minion without runs', () => {
    assert.deepEqual(describeRuns(MINION, []), []);
  });
});

describe('describeJobs', () => {
  it('names each job once with its status and revision, in lines that fit into one write', () => {
    const fleet = new SampleFleet(0);
    const jobs = Array.from({length: 250}, () => fleet.addJob('proofs', [shape()]));
    const events = describeJobs(jobs);
    const lines = events.map(({named}) => String(named));
    assert.ok(lines.every((named) => named.length <= MAX_NAMED_BYTES));
    assert.deepEqual(
      lines.flatMap((named) => named.split(' ')),
      jobs.map(({id, revision}) => `${id}/queued/${revision}`),
    );
    assert.deepEqual(
      events.map((fields) => fields.jobs),
      lines.map((named) => named.split(' ').length),
    );
  });
});

describe('findNamedJobs', () => {
  it('returns each named job', () => {
    const fleet = new SampleFleet(0);
    const jobs = Array.from({length: 2}, () => fleet.addJob('proofs', [shape()]));
    const [fields] = describeJobs(jobs);
    assert.deepEqual(
      findNamedJobs(fields ?? {}),
      jobs.map(({id}) => id),
    );
  });

  it('returns the job of each named run', () => {
    const runs = createRuns(2);
    const [fields] = describeRuns(MINION, runs);
    assert.deepEqual(
      findNamedJobs(fields ?? {}),
      runs.map(({task}) => task.job),
    );
  });

  it('returns nothing for fields that name no job and no run', () => {
    assert.deepEqual(findNamedJobs({minion: 'm1'}), []);
    assert.deepEqual(findNamedJobs({named: 'm1 m2'}), []);
  });
});
