import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RECORD_POLL_MS} from '../../MembershipConstants.ts';
import {choosePollMs} from '../../RecordPolling.ts';
import {Cluster} from '../fakes/Cluster.ts';

function readsPerSecond(members: number): number {
  return (members * 1_000) / choosePollMs(RECORD_POLL_MS, {members, urgent: false}, 0.5);
}

describe('choosePollMs', () => {
  it('keeps the reads of all members together nearly level', () => {
    const rates = [1, 3, 9, 30, 45, 90].map(readsPerSecond);
    assert.deepEqual(rates, [0.5, 1.5, 1.5, 1.5, 1.5, 3]);
  });

  it('reads at the plain interval while something waits', () => {
    const needs = {members: 90, urgent: true};
    assert.equal(choosePollMs(RECORD_POLL_MS, needs, 0.9), RECORD_POLL_MS);
  });
});

describe('pollNeeds', () => {
  it('are urgent from a death until its slots are in use again', async () => {
    const cluster = new Cluster(2, 3);
    const processes = ['a', 'b', 'c', 'd'].map((vm) => cluster.add(vm));
    const [first] = processes;
    assert.ok(first);
    assert.equal(first.membership.pollNeeds.urgent, true);
    await cluster.run(20);
    assert.deepEqual(first.membership.pollNeeds, {members: 4, urgent: false});
    processes[3]?.kill();
    await cluster.run(12);
    assert.equal(first.membership.pollNeeds.urgent, true);
    await cluster.run(30);
    assert.deepEqual(first.membership.pollNeeds, {members: 3, urgent: false});
  });
});
