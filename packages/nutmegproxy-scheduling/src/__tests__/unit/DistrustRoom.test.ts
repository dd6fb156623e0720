/** Work that only fits a minion that a former owner did not trust, as its substitutes are in use. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {describeDistrust, receiveDistrust, reviewFormerDistrust} from '../../MinionQuarantine.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const TAKEOVER_MS = 500;
const LARGE = {cpuMilli: 32_000, gpus: 0, memoryMb: 64_000};

/** Returns what starts of a job for which only one of two large minions has room, beside many small ones that idle. */
function countStarts(isPassedOn: boolean): number {
  const sample = new SampleFleet(20);
  sample.addMinion('large-1', {capacity: LARGE});
  sample.addJob('proofs', [shape({longRunning: true, resources: {...LARGE, cpuMilli: 24_000}})]);
  assert.equal(sample.plan(0).length, 1);
  const bad = sample.addMinion('large-2', {capacity: LARGE});
  const former = new SampleFleet(0).addMinion('large-2', {capacity: LARGE});
  failTwice(former, 0);
  const snapshot = describeDistrust(former, at(TAKEOVER_MS));
  assert.ok(snapshot);
  if (isPassedOn) {
    receiveDistrust(sample.fleet, bad, snapshot, at(TAKEOVER_MS));
    reviewFormerDistrust(sample.fleet, bad, at(TAKEOVER_MS));
  }
  const resources = {cpuMilli: 14_000, gpus: 0, memoryMb: 1_000};
  sample.addJob('proofs', [shape({resources})], TAKEOVER_MS);
  return sample.plan(TAKEOVER_MS).length;
}

describe('Work that a takeover finds waiting', () => {
  it('starts where nothing was passed on', () => {
    assert.equal(countStarts(false), 1);
  });

  // Guards against work that waits for a trial beside trusted minions that have no room for it.
  it('starts on a minion that a former owner did not trust where the others have no room for it', () => {
    assert.equal(countStarts(true), 1);
  });
});
