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

function cut(cluster: Cluster, side: readonly Process[], others: readonly Process[]): void {
  for (const {node: a} of side) {
    for (const {node: b} of others) {
      cluster.network.setLinkState(a.identity.vm, b.identity.vm, 'cut');
      cluster.network.setLinkState(b.identity.vm, a.identity.vm, 'cut');
    }
  }
}

/** Carries all calls but the first few to their end. */
async function settleAfter(cluster: Cluster, kept: number): Promise<void> {
  await cluster.breathe();
  while (cluster.engine.calls.length > kept) {
    cluster.openCall(kept);
    await cluster.breathe();
  }
}

describe('tenure', () => {
  it('counts a lease from the instant at which the renewal was sent', async () => {
    const [cluster, [a, b, c]] = await createCluster(['a', 'b', 'c']);
    assert.ok(a && b && c);
    cut(cluster, [a], [b, c]);
    cluster.clock.advance(4_000);
    a.start('tenure');
    await cluster.breathe();
    cluster.openCall(0);
    cluster.clock.advance(8_000);
    cluster.openCall(0);
    await cluster.breathe();
    assert.equal(a.holds(), true);
    cluster.clock.advance(2_000);
    assert.equal(a.holds(), false);
  });

  it('is not taken from a member that has its key back', async () => {
    const [cluster, [a, b]] = await createCluster(['a', 'b']);
    assert.ok(a && b);
    await cluster.run(5, [b]);
    cluster.clock.advance(6_000);
    b.start('tenure');
    await cluster.settle();
    b.start('record');
    await cluster.breathe();
    // Both stages of the reading; what then waits is the removal of a.
    cluster.openCall(0);
    cluster.openCall(0);
    await cluster.breathe();
    assert.equal(cluster.engine.calls.length, 1);
    a.start('tenure');
    await settleAfter(cluster, 1);
    a.start('record');
    await settleAfter(cluster, 1);
    assert.equal(a.holds(), true);
    await cluster.settle();
    cluster.check();
    const vms = cluster.record()?.members.map(({vm}) => vm);
    assert.deepEqual(vms?.sort(), ['a', 'b']);
  });

  it('needs a majority of both sets while a change of electors is not known', async () => {
    const [cluster, [a, b, c]] = await createCluster(['a', 'b', 'c']);
    assert.ok(a && b && c);
    const d = cluster.add('d');
    await cluster.run(7, [b, c, d]);
    a.start('record');
    await cluster.breathe();
    cluster.openCall(0);
    cluster.openCall(0);
    await cluster.breathe();
    // The write of a's electors takes effect, and its answer is lost.
    cluster.openCall(0);
    a.store.down = true;
    b.store.down = true;
    cluster.expireCall(0);
    const own = cluster.record()?.members.find(({vm}) => vm === 'a');
    assert.equal(own?.electors.length, 4);
    cut(cluster, [a, b], [c, d]);
    await cluster.run(40);
    assert.equal(a.holds(), false);
  });
});
