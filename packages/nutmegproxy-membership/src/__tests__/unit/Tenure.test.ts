import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Process} from '../fakes/Cluster.ts';

import {Cluster} from '../fakes/Cluster.ts';

const SETTLE_SECONDS = 20;

async function createCluster(vms: readonly string[]): Promise<[Cluster, Process[]]> {
  const cluster = new Cluster(2, 3);
  const processes = vms.map((vm) => cluster.add(vm));
  await cluster.run(SETTLE_SECONDS);
  return [cluster, processes];
}

function partition(cluster: Cluster, side: readonly Process[], others: readonly Process[]): void {
  for (const {node: a} of side) {
    for (const {node: b} of others) {
      cluster.network.setPassage(a.identity.vm, b.identity.vm, 'cut');
      cluster.network.setPassage(b.identity.vm, a.identity.vm, 'cut');
    }
  }
}

/** Completes all store calls except the first `index` ones. */
async function settleCallsFrom(cluster: Cluster, index: number): Promise<void> {
  await cluster.flushPromises();
  while (cluster.engine.calls.length > index) {
    cluster.advanceCall(index);
    await cluster.flushPromises();
  }
}

describe('tenure', () => {
  it('counts a lease from the instant at which the renewal was sent', async () => {
    const [cluster, [a, b, c]] = await createCluster(['a', 'b', 'c']);
    assert.ok(a && b && c);
    partition(cluster, [a], [b, c]);
    cluster.clock.advance(4_000);
    a.startStep('tenure');
    await cluster.flushPromises();
    cluster.advanceCall(0);
    cluster.clock.advance(8_000);
    cluster.advanceCall(0);
    await cluster.flushPromises();
    assert.equal(a.holdsTenure(), true);
    cluster.clock.advance(2_000);
    assert.equal(a.holdsTenure(), false);
  });

  it('is kept by a member that has written its key again', async () => {
    const [cluster, [a, b]] = await createCluster(['a', 'b']);
    assert.ok(a && b);
    await cluster.run(5, [b]);
    cluster.clock.advance(6_000);
    b.startStep('tenure');
    await cluster.settleCalls();
    b.startStep('record');
    await cluster.flushPromises();
    // Completes both stages of the read; the pending call is then the removal of a.
    cluster.advanceCall(0);
    cluster.advanceCall(0);
    await cluster.flushPromises();
    assert.equal(cluster.engine.calls.length, 1);
    a.startStep('tenure');
    await settleCallsFrom(cluster, 1);
    a.startStep('record');
    await settleCallsFrom(cluster, 1);
    assert.equal(a.holdsTenure(), true);
    await cluster.settleCalls();
    cluster.checkInvariants();
    const vms = cluster.record()?.members.map(({vm}) => vm);
    assert.deepEqual(vms?.sort(), ['a', 'b']);
  });

  it('needs a majority of both sets while an elector change is unconfirmed', async () => {
    const [cluster, [a, b, c]] = await createCluster(['a', 'b', 'c']);
    assert.ok(a && b && c);
    const d = cluster.add('d');
    await cluster.run(7, [b, c, d]);
    a.startStep('record');
    await cluster.flushPromises();
    cluster.advanceCall(0);
    cluster.advanceCall(0);
    await cluster.flushPromises();
    // The write of a's electors takes effect, and its response is lost.
    cluster.advanceCall(0);
    a.store.isDown = true;
    b.store.isDown = true;
    cluster.expireCall(0);
    const own = cluster.record()?.members.find(({vm}) => vm === 'a');
    assert.equal(own?.electors.length, 4);
    partition(cluster, [a, b], [c, d]);
    await cluster.run(40);
    assert.equal(a.holdsTenure(), false);
  });
});
