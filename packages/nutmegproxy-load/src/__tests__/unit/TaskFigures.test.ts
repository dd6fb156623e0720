import type {AttemptInterval} from '@nutmegproxy/standins';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {measureRun} from '../../TaskFigures.ts';
import {planJobs} from '../../TaskWorkload.ts';

function attemptOf(entry: string, job: string, changes: Partial<AttemptInterval>): AttemptInterval {
  return {
    attempt: `${job}/0.0`,
    entry,
    reserved: {accelerators: 0, cpu: 1, memoryMb: 1},
    resumedFromMs: 0,
    startedAt: 0,
    task: `${job}/0`,
    used: {accelerators: 0, cpu: 16, memoryMb: 1},
    worker: 'w1',
    ...changes,
  };
}

function jobOf(entry: string, id: string, cancelled = false) {
  return {cancelled, count: 1, entry, id, submittedAt: 0};
}

describe('the task experiment', () => {
  it('plans the same jobs for the same seed and different jobs for another seed', () => {
    assert.deepEqual(planJobs(7), planJobs(7));
    assert.notDeepEqual(planJobs(7), planJobs(8));
  });

  it('ignores failed starts and counts unstarted tasks up to the end of the run', () => {
    const figures = measureRun({
      accepted: [jobOf('alert', 'a'), jobOf('alert', 'b')],
      attempts: [
        attemptOf('alert', 'a', {endedAt: 10, endState: 'failed', startedAt: 10}),
        attemptOf('alert', 'a', {endedAt: 820, endState: 'succeeded', startedAt: 20}),
      ],
      endedAt: 10_000,
      impossible: 0,
      startedAt: 0,
      unaccepted: 0,
    });
    assert.equal(figures.startMax, 10_000);
    assert.equal(figures.startsInTime, 0.5);
    assert.equal(figures.unstarted, 1);
    assert.equal(figures.slowdownP50, 2);
  });

  it('measures kept work, lost work and time over capacity', () => {
    const figures = measureRun({
      accepted: [jobOf('train', 'a'), jobOf('train', 'b'), jobOf('train', 'c', true)],
      attempts: [
        attemptOf('train', 'a', {doneMs: 1000, endedAt: 1000, endState: 'checkpointed'}),
        attemptOf('train', 'b', {doneMs: 500, endedAt: 1000, endState: 'lapsed'}),
        attemptOf('train', 'c', {doneMs: 500, endedAt: 500, endState: 'stopped'}),
        attemptOf('train', 'b', {resumedFromMs: 400, startedAt: 1000}),
      ],
      endedAt: 1000,
      impossible: 0,
      startedAt: 0,
      unaccepted: 0,
    });
    assert.equal(figures.batchPerOffered, 0.067);
    assert.equal(figures.coreSecondsLost, 8);
    assert.equal(figures.evictions, 1);
    assert.equal(figures.overCapacityShare, 0.067);
  });
});
