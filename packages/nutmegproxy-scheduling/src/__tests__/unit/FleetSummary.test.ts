import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {summarizeFleet} from '../../FleetSummary.ts';
import {at, SampleFleet, wallAt} from './Samples.ts';

describe('summarizeFleet', () => {
  it('counts the minions at each level of trust', () => {
    const sample = new SampleFleet(3);
    sample.addMinion('trial').trust.recordStall(at(0));
    sample.addMinion('quarantined').trust.recordStall(at(9_000));
    sample.addMinion('quarantined too').trust.recordStall(at(9_000));
    const {quarantined, trial, trusted} = summarizeFleet(sample.fleet, at(10_000), wallAt(10_000));
    assert.deepEqual({quarantined, trial, trusted}, {quarantined: 2, trial: 1, trusted: 3});
  });
});
