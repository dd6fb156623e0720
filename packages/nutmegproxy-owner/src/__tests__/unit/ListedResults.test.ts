import type {RunNumber} from '@nutmegproxy/jobs';
import type {RunResult} from '@nutmegproxy/scheduling';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {ListedResults} from '../../ListedResults.ts';

const STORED = {flush: () => Promise.resolve()};

function createResult(sequence: number): RunResult {
  const task = {index: sequence, job: brand<RunResult['task']['job']>('1'), occurrence: 0, step: 0};
  return {checkpoint: undefined, number: 1 as RunNumber, outcome: 'done', sequence, task};
}

describe('ListedResults', () => {
  let results: ListedResults;

  beforeEach(() => {
    results = new ListedResults();
    results.recordApplied([createResult(1), createResult(2)]);
  });

  it('are not acknowledged before they are stored', () => {
    assert.equal(results.appliedThrough, 2);
    assert.equal(results.acknowledgedThrough, 0);
    assert.equal(results.unstored.length, 2);
  });

  it('are acknowledged once they are stored', async () => {
    await results.awaitStored(STORED);
    assert.equal(results.acknowledgedThrough, 2);
    assert.deepEqual(results.unstored, []);
  });

  it('are not acknowledged by a write that was begun before they were applied', async () => {
    const written = results.awaitStored(STORED);
    results.recordApplied([createResult(1), createResult(2), createResult(3)]);
    await written;
    assert.equal(results.acknowledgedThrough, 2);
    assert.deepEqual(results.unstored, [createResult(3)]);
  });
});
