import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {hasUrgentWork} from '../../UrgentWork.ts';
import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const URGENT = queue('alerts');
const DIGESTS = queue('digests', {priority: 2});
/** Time in milliseconds for which an urgent step that waits asks for a process that is not full. */
const MAX_WAIT_MS = 2_000;

describe('Urgent work that deferrable starts may delay', () => {
  let sample: SampleFleet;

  function isUrgent(nowMs: number): boolean {
    return hasUrgentWork(sample.fleet, at(nowMs), wallAt(nowMs));
  }

  beforeEach(() => {
    sample = new SampleFleet(1, [URGENT, DIGESTS]);
  });

  it('is there from the acceptance of an urgent job on, and for some time from its turn on', () => {
    sample.addJob('alerts', [shape({requiredLabel: 'none'})]);
    assert.ok(isUrgent(0));
    sample.plan(0);
    assert.ok(isUrgent(MAX_WAIT_MS - 1));
    assert.ok(!isUrgent(MAX_WAIT_MS));
  });

  it('is there while it runs', () => {
    sample.addJob('alerts', [shape()]);
    assert.equal(sample.plan(0).length, 1);
    assert.ok(isUrgent(10 * MAX_WAIT_MS));
  });

  it('is not there for the later steps of a job whose first one finds no minion', () => {
    sample.addJob('alerts', [shape({requiredLabel: 'none'}), shape({after: [0]})]);
    sample.plan(0);
    assert.ok(isUrgent(MAX_WAIT_MS - 1));
    assert.ok(!isUrgent(MAX_WAIT_MS));
  });

  it('is there again when the turn of a later step comes', () => {
    const job = sample.addJob('alerts', [shape({count: 2}), shape({after: [0]})]);
    for (const run of sample.plan(0)) {
      sample.fleet.finishRun(run, 'done', undefined, at(10 * MAX_WAIT_MS));
    }
    assert.ok(!job.isFinal);
    assert.ok(isUrgent(10 * MAX_WAIT_MS));
  });

  it('is none of a deferrable queue', () => {
    sample.addJob('digests', [shape()]);
    sample.plan(0);
    assert.ok(!isUrgent(10));
  });
});
