/** What lasting gangs hold from other lasting jobs, and what they give to them. */

import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {at, SampleFleet, shape} from './Samples.ts';

/** Tasks of one core that start below the limit on ten minions of four cores. */
const LIMIT = 34;
const NARROW = shape({longRunning: true});

function addNarrow(sample: SampleFleet, jobs: number, dueMs = 0): readonly JobState[] {
  return Array.from({length: jobs}, () => sample.addJob('proofs', [NARROW], dueMs));
}

describe('A lasting gang that waits for the limit', () => {
  // Guards against room that stands free for good because what runs does not end.
  it('does not keep others from free room for minutes while nothing ends', () => {
    const sample = new SampleFleet(10);
    addNarrow(sample, 22);
    assert.equal(sample.plan(0).length, 22);
    const gang = sample.addJob('proofs', [shape({count: 13, gang: true, longRunning: true})], 1);
    const later = addNarrow(sample, 10, 2);
    for (let now = 1_000; now <= 300_000; now += 1_000) {
      sample.plan(now);
    }
    const running = later.filter(({hasLiveRuns}) => hasLiveRuns).length;
    assert.ok(running > 0 || gang.hasLiveRuns, 'of 40 cores 22 are in use after 5 minutes');
  });
});

describe('A lasting gang that needs most of the room', () => {
  // Guards against half of a fleet that stands free for a gang which never gets enough of it.
  it('starts within a hundred ends of others, or leaves them the room', () => {
    const sample = new SampleFleet(10);
    const narrow = addNarrow(sample, 200);
    assert.equal(sample.plan(0).length, LIMIT);
    const gang = sample.addJob('proofs', [shape({count: 24, gang: true, longRunning: true})], -1);
    let sum = 0;
    for (let round = 1; round <= 100; round += 1) {
      const ended = narrow.find((job) => job.hasLiveRuns && sample.fleet.jobs.has(job.id));
      assert.ok(ended);
      sample.finishRuns(ended, at(round * 1_000));
      sample.fleet.jobs.delete(ended.id);
      sample.plan(round * 1_000);
      sum += narrow.filter(({hasLiveRuns}) => hasLiveRuns).length;
    }
    const mean = sum / 100;
    assert.ok(gang.hasLiveRuns || mean >= LIMIT - 4, `${mean} of 40 cores are in use, on average`);
  });
});

describe('A lasting gang of which a task was interrupted', () => {
  // Guards against room that was never given to the gang and that others get when it finds no minions.
  it('gives others no room that a larger job holds when it finds no minions', () => {
    const sample = new SampleFleet(10);
    const narrow = addNarrow(sample, 40);
    assert.equal(sample.plan(0).length, LIMIT);
    const memory = {cpuMilli: 0, gpus: 0, memoryMb: 7_000};
    sample.addJob('proofs', [shape({count: 10, resources: memory})], -1);
    assert.equal(sample.plan(0).length, 10);
    const resources = {cpuMilli: 1_000, gpus: 0, memoryMb: 2_000};
    const gang = sample.addJob('proofs', [
      shape({count: 4, gang: true, longRunning: true, resources}),
    ]);
    gang.occurrence(0)?.[0]?.begun.add(0);
    const large = {cpuMilli: 2_000, gpus: 0, memoryMb: 100};
    const held = sample.addJob(
      'proofs',
      [shape({count: 2, longRunning: true, resources: large})],
      -1,
    );
    for (const [index, job] of narrow.slice(0, 2).entries()) {
      sample.finishRuns(job, at(index + 1));
      sample.fleet.jobs.delete(job.id);
      const started = sample.plan(index + 1).map(({task}) => task.job);
      assert.deepEqual(started, index === 0 ? [] : [held.id]);
    }
  });
});
