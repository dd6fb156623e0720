import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {summarizeFleet} from '../../FleetSummary.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

describe('summarizeFleet', () => {
  it('counts the minions at each level of trust', () => {
    const sample = new SampleFleet(3);
    sample.addMinion('trial').trust.recordStall(at(0));
    sample.addMinion('quarantined').trust.recordStall(at(9_000));
    sample.addMinion('quarantined too').trust.recordStall(at(9_000));
    const {quarantined, trial, trusted} = summarizeFleet(sample.fleet, at(10_000), wallAt(10_000));
    assert.deepEqual({quarantined, trial, trusted}, {quarantined: 2, trial: 1, trusted: 3});
  });

  it('names the largest piece that is free for work other than backfill on a minion that is used', () => {
    const sample = new SampleFleet(1);
    sample.addMinion('draining', {isDraining: true});
    for (const [cpuMilli, fillsSpareCpu] of [
      [1_500, false],
      [2_000, true],
    ] as const) {
      const resources = {cpuMilli, gpus: 0, memoryMb: 100};
      sample.addJob('proofs', [shape({fillsSpareCpu, resources})]);
    }
    sample.plan(0);
    const {fillingCores, largestFreeMilli} = summarizeFleet(sample.fleet, at(0), wallAt(0));
    assert.deepEqual({fillingCores, largestFreeMilli}, {fillingCores: 2, largestFreeMilli: 2_500});
  });
});
