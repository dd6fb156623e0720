import type {Run} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {findIdleSince, findSoonIdleSince} from '../../ExpectedWork.ts';
import {planStarts} from '../../StartPlanner.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const DIGESTS = queue('digests', {priority: 2});
/** Expected duration of a task in milliseconds. */
const TASK_MS = 1_000;

function plan(sample: SampleFleet, nowMs: number, deferrableStarts: number): readonly Run[] {
  return planStarts(sample.fleet, {
    advice: {isPermitted: () => undefined},
    deferrableStarts,
    estimator: sample.estimator,
    now: at(nowMs),
    sharingCosts: NO_SHARING_COSTS,
    wall: wallAt(nowMs),
  });
}

function confirm(run: Run, nowMs: number): void {
  run.phase = 'running';
  run.sentAt = at(nowMs);
  run.confirmedAt = at(nowMs);
}

/** Returns a fleet with a job of which one task was sent at 0, and that task's run. */
function startOne(): {run: Run; sample: SampleFleet} {
  const sample = new SampleFleet(10, [DIGESTS]);
  sample.addJob('digests', [shape({count: 30, estimateMs: TASK_MS})]);
  const [run] = plan(sample, 0, 1);
  assert.ok(run);
  return {run, sample};
}

describe('A job of which a run is live', () => {
  function readIdleSince({run, sample}: {run: Run; sample: SampleFleet}, nowMs: number): number {
    return findIdleSince(run.step, {estimator: sample.estimator, fleet: sample.fleet}, nowMs);
  }

  it('is at work while the start is not confirmed', () => {
    assert.equal(readIdleSince(startOne(), 60_000), Infinity);
  });

  it('stands still from when the run was expected to end', () => {
    const started = startOne();
    confirm(started.run, 0);
    assert.equal(readIdleSince(started, TASK_MS - 1), Infinity);
    assert.equal(readIdleSince(started, TASK_MS), TASK_MS);
  });

  it('stands still from when the run ends by the progress that its minion has listed', () => {
    const started = startOne();
    confirm(started.run, 0);
    started.run.percent = 60;
    const minion = started.sample.fleet.minions.get(started.run.minion);
    assert.ok(minion);
    minion.lastAnswerAt = at(300);
    assert.equal(readIdleSince(started, 600), 500);
  });

  it('is at work while another of its runs is not expected to have ended', () => {
    const started = startOne();
    confirm(started.run, 0);
    const [second] = plan(started.sample, 800, 1);
    assert.ok(second);
    confirm(second, 800);
    assert.equal(readIdleSince(started, TASK_MS), Infinity);
  });

  it('is not withheld behind an older job until the owner knows of the end', () => {
    const sample = new SampleFleet(10, [DIGESTS]);
    const older = sample.addJob('digests', [shape({count: 30, estimateMs: 10 * TASK_MS})]);
    const [lasting] = plan(sample, 0, 1);
    assert.equal(lasting?.step.job, older);
    confirm(lasting, 0);
    const job = sample.addJob('digests', [shape({count: 30, estimateMs: TASK_MS})], 10);
    const [short] = plan(sample, 20, 1);
    assert.equal(short?.step.job, job);
    confirm(short, 20);
    const [next] = plan(sample, 1_500, 1);
    assert.equal(next?.step.job, job);
  });
});

describe('A job whose run ends soon', () => {
  it('counts as standing still by the time that a start takes', () => {
    const {run, sample} = startOne();
    const outlook = {estimator: sample.estimator, fleet: sample.fleet};
    confirm(run, 0);
    assert.equal(findSoonIdleSince(run.step, outlook, at(TASK_MS - 500)), Infinity);
    for (let starts = 0; starts < 200; starts += 1) {
      sample.fleet.startDelay.recordConfirmed(run, at(300));
    }
    assert.equal(findSoonIdleSince(run.step, outlook, at(TASK_MS - 500)), TASK_MS);
    assert.equal(findSoonIdleSince(run.step, outlook, at(TASK_MS - 700)), Infinity);
  });
});
