/** Which minions count as able to take the work of one that a former owner did not trust. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {describeDistrust, receiveDistrust, reviewFormerDistrust} from '../../MinionQuarantine.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const LARGE = {cpuMilli: 32_000, gpus: 0, memoryMb: 64_000};
const TAKEOVER_MS = 500;

describe('Distrust of a minion that a former owner passed on', () => {
  // Guards against work for which there is no other minion and that waits for a trial under each owner.
  it('ends where the trusted minions are too small for the work that it can take', () => {
    const sample = new SampleFleet(3);
    const large = sample.addMinion('large', {capacity: LARGE});
    const former = new SampleFleet(0).addMinion('large', {capacity: LARGE});
    failTwice(former, 0);
    const snapshot = describeDistrust(former, at(TAKEOVER_MS));
    assert.ok(snapshot);
    receiveDistrust(sample.fleet, large, snapshot, at(TAKEOVER_MS));
    reviewFormerDistrust(sample.fleet, large, at(TAKEOVER_MS));
    const resources = {cpuMilli: 16_000, gpus: 0, memoryMb: 1_000};
    sample.addJob('proofs', [shape({resources})], TAKEOVER_MS);
    assert.equal(sample.plan(TAKEOVER_MS).length, 1);
  });
});
