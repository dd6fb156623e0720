import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RECORD_POLL_MS} from '../../MembershipConstants.ts';
import {choosePollIntervalMs} from '../../RecordPollInterval.ts';
import {Cluster} from '../fakes/Cluster.ts';

function computeReadsPerSecond(members: number): number {
  return (members * 1_000) / choosePollIntervalMs(RECORD_POLL_MS, {isUrgent: false, members}, 0.5);
}

describe('choosePollIntervalMs', () => {
  it('keeps the total read rate of all members nearly constant', () => {
    const rates = [1, 3, 9, 30, 45, 90].map(computeReadsPerSecond);
    assert.deepEqual(rates, [0.5, 1.5, 1.5, 1.5, 1.5, 3]);
  });

  it('returns the base interval while a change is urgent', () => {
    const inputs = {isUrgent: true, members: 90};
    assert.equal(choosePollIntervalMs(RECORD_POLL_MS, inputs, 0.9), RECORD_POLL_MS);
  });
});

describe('pollInputs', () => {
  it('are urgent from the death of a member until its slots are in use again', async () => {
    const cluster = new Cluster(2, 3);
    const processes = ['a', 'b', 'c', 'd'].map((vm) => cluster.add(vm));
    const [first] = processes;
    assert.ok(first);
    assert.equal(first.membership.pollInputs.isUrgent, true);
    await cluster.run(20);
    assert.deepEqual(first.membership.pollInputs, {isUrgent: false, members: 4});
    processes[3]?.kill();
    await cluster.run(12);
    assert.equal(first.membership.pollInputs.isUrgent, true);
    await cluster.run(30);
    assert.deepEqual(first.membership.pollInputs, {isUrgent: false, members: 3});
  });
});
