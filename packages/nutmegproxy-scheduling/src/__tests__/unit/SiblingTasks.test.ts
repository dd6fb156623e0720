import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {at, queue, SampleFleet, shape} from './Samples.ts';

describe('Tasks of one step', () => {
  it('start although an earlier one of the step avoids the only minion', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 3})]);
    sample.addJob('proofs', [shape({count: 2})]);
    const [first, second] = sample.plan(0);
    assert.ok(first && second);
    sample.fleet.finishRun(first, 'failed', undefined, at(10));
    sample.fleet.finishRun(second, 'stopped', undefined, at(20));
    assert.equal(sample.plan(100).length, 1);
  });

  it('start although the result of an earlier one is unknown while its minion is silent', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 1})]);
    sample.addJob('proofs', [shape({count: 2})]);
    const [first, second] = sample.plan(0);
    assert.ok(first && second && first.minion !== second.minion);
    const silent = sample.fleet.minions.get(first.minion);
    assert.ok(silent);
    silent.missedCalls = 3;
    sample.fleet.expireLease(silent);
    sample.fleet.finishRun(second, 'stopped', undefined, at(8_000));
    assert.equal(sample.plan(60_000).length, 1);
  });
});
