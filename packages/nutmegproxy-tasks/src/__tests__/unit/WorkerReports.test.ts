import type {Instant, WallTime} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Task} from '../../TaskModel.ts';

import {CLOCK_SKEW_MS} from '../../TasksConstants.ts';
import {TaskTable} from '../../TaskTable.ts';
import {
  evaluateMissingReport,
  evaluateReport,
  getBackoffMs,
  getMaxLeaseMs,
} from '../../WorkerReports.ts';

const LEASE_MS = 1000;
const START_BEFORE = 50_000;
const ATTEMPT = 'j/0#0';

function startedTable(): {table: TaskTable; task: Task} {
  const table = new TaskTable();
  table.apply({at: 1, count: 1, entry: 'e', job: 'j', kind: 'job-accepted'});
  table.apply({
    at: 2,
    attempt: ATTEMPT,
    kind: 'start-intended',
    reserved: {accelerators: 0, cpu: 1, memoryMb: 1},
    startBefore: START_BEFORE,
    task: 'j/0',
    worker: 'w',
  });
  const task = table.findByAttempt(ATTEMPT);
  assert.ok(task);
  return {table, task};
}

function evaluateAfter(sinceLeaseMs: number, wall: number) {
  const times = {now: sinceLeaseMs as Instant, wall: wall as WallTime};
  return evaluateMissingReport(startedTable().task, 0 as Instant, LEASE_MS, times);
}

describe('worker reports', () => {
  describe('missing reports', () => {
    const late = START_BEFORE * 2;
    const startExpiresAt = START_BEFORE + CLOCK_SKEW_MS + LEASE_MS;

    it('requeue an attempt only after an unanswered renewal has expired', () => {
      assert.equal(evaluateAfter(2 * LEASE_MS, late), undefined);
      assert.equal(evaluateAfter(getMaxLeaseMs(LEASE_MS), late), undefined);
      assert.ok(evaluateAfter(getMaxLeaseMs(LEASE_MS) + 1, late));
    });

    it('requeue a start only after the lease of the latest possible start has expired', () => {
      assert.equal(evaluateAfter(late, START_BEFORE + CLOCK_SKEW_MS), undefined);
      assert.equal(evaluateAfter(late, startExpiresAt), undefined);
      assert.ok(evaluateAfter(late, startExpiresAt + LEASE_MS));
    });
  });

  describe('cancelled jobs', () => {
    for (const state of ['checkpointed', 'failed', 'lapsed', 'stopped'] as const) {
      it(`do not resume after ${state}`, () => {
        const {table, task} = startedTable();
        table.apply({at: 3, job: 'j', kind: 'job-cancelled'});
        const report = {attempt: ATTEMPT, state, task: 'j/0'};
        const transition = evaluateReport(task, report, undefined, 4 as WallTime);
        assert.ok(transition);
        table.apply(transition.change);
        assert.equal(task.state, 'ended');
        assert.equal(task.outcome, 'cancelled');
        assert.equal(table.endedJobs.size, 1);
      });
    }

    it('ignore a start intent that follows the cancellation', () => {
      const table = new TaskTable();
      table.apply({at: 1, count: 1, entry: 'e', job: 'j', kind: 'job-accepted'});
      table.apply({at: 2, job: 'j', kind: 'job-cancelled'});
      table.apply({
        at: 2,
        attempt: ATTEMPT,
        kind: 'start-intended',
        reserved: {accelerators: 0, cpu: 1, memoryMb: 1},
        startBefore: START_BEFORE,
        task: 'j/0',
        worker: 'w',
      });
      assert.equal(table.liveCount, 0);
    });
  });

  describe('sizes of reports', () => {
    it('are bounded before they are logged', () => {
      const long = 'x'.repeat(1_000_000);
      const report = {attempt: ATTEMPT, checkpoint: long, error: long, task: 'j/0'};
      const {task} = startedTable();
      task.failures = 99;
      for (const state of ['checkpointed', 'failed', 'lapsed', 'stopped'] as const) {
        const transition = evaluateReport(task, {...report, state}, undefined, 4 as WallTime);
        assert.ok(JSON.stringify(transition).length < 10_000);
      }
    });
  });

  describe('retries', () => {
    it('have a delay that grows with each failure up to a maximum', () => {
      const waits = Array.from({length: 40}, (_, failures) => getBackoffMs(failures));
      waits.forEach((each, index) => {
        assert.ok(index === 0 || each >= (waits[index - 1] ?? 0));
      });
      assert.ok(Math.max(...waits) <= 60_000);
    });
  });
});
