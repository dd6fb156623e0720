import {PRIORITY_HIGH} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Process} from '../fakes/Cluster.ts';

import {CELL_RELEASE_WANTED} from '../../index.ts';
import {Cluster, PERIODS} from '../fakes/Cluster.ts';

const SETTLE_SECONDS = 20;

async function createCluster(
  vms: readonly string[],
  unlisted: readonly string[] = [],
): Promise<[Cluster, ...Process[]]> {
  const cluster = new Cluster(3, 5);
  cluster.list.unlisted = new Set(unlisted);
  const processes = vms.map((vm) => cluster.add(vm));
  await cluster.run(SETTLE_SECONDS);
  return [cluster, ...processes];
}

function countCells(cluster: Cluster, process: Process): number {
  return cluster.cells.filter((cell) => process.ownsCell(cell)).length;
}

function sumShares(cluster: Cluster): number[] {
  return cluster.minions.map((minion) =>
    cluster.processes
      .filter((each) => each.alive && each.holds())
      .reduce((sum, each) => sum + each.membership.ownShare(minion), 0),
  );
}

function members(cluster: Cluster): string[] {
  return (cluster.record()?.members ?? []).map(({vm}) => vm).sort();
}

describe('membership', () => {
  describe('joining', () => {
    it('gives every member its part of slots and cells', async () => {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c']);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
      const counts = [a, b, c].map((each) => (each ? countCells(cluster, each) : 0));
      assert.deepEqual(counts.sort(), [1, 2, 2]);
    });

    it('moves shares to a later member only when they are idle', async () => {
      const [cluster, a] = await createCluster(['a']);
      const [minion] = cluster.minions;
      assert.ok(a && minion);
      for (let n = 0; n < 8; n += 1) {
        a.dispatch(minion);
      }
      const b = cluster.add('b');
      await cluster.run(3);
      assert.equal(b.membership.ownShare(minion), 0);
      assert.equal(a.membership.ownShare(minion), 4);
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
      assert.equal(b.membership.ownShare(minion), 4);
    });
  });

  describe('periods', () => {
    const other = {...PERIODS, outageLimitMs: PERIODS.outageLimitMs * 2};

    it('that differ from those of the members keep a process out', async () => {
      const [cluster] = await createCluster(['a']);
      const b = cluster.add('b', 1, other);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(b.holds(), false);
      assert.deepEqual(members(cluster), ['a']);
    });

    it('can be changed once no member is left', async () => {
      const [cluster, a] = await createCluster(['a']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      const b = cluster.add('b', 1, other);
      await cluster.run(SETTLE_SECONDS);
      assert.ok(b.holds());
      assert.deepEqual(cluster.record()?.periods, other);
    });
  });

  describe('a planned stop', () => {
    it('hands over shares and cells and leaves', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(members(cluster), ['b', 'c']);
      assert.equal(a?.membership.ended, true);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
    });

    it('waits until a cell is released', async () => {
      const [cluster, a] = await createCluster(['a', 'b']);
      const waiting: (() => void)[] = [];
      a?.node.bus.register(
        CELL_RELEASE_WANTED,
        ({released}) => waiting.push(released) > 0,
        PRIORITY_HIGH,
      );
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(members(cluster), ['a', 'b']);
      for (const released of waiting) {
        released();
      }
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(members(cluster), ['b']);
    });

    it('of the last member leaves no member behind', async () => {
      const [cluster, a] = await createCluster(['a']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(members(cluster), []);
      const b = cluster.add('b');
      await cluster.run(SETTLE_SECONDS);
      assert.equal(countCells(cluster, b), 5);
    });
  });

  describe('takeover', () => {
    it('removes a killed member and reuses its slots after the last request', async () => {
      const [cluster, a, b] = await createCluster(['a', 'b', 'c']);
      a?.kill();
      await cluster.run(PERIODS.tenureTtlMs / 1_000 + 3);
      assert.deepEqual(members(cluster), ['b', 'c']);
      assert.ok(sumShares(cluster).every((sum) => sum < 8));
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
      assert.ok(b && countCells(cluster, b) >= 2);
    });

    it('takes a restarted process for its own predecessor at once', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      a?.kill();
      cluster.add('a');
      await cluster.run(2);
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
      assert.equal(
        cluster.record()?.members.some((each) => each.incarnation === a?.node.identity.incarnation),
        false,
      );
    });

    it('never removes two that vouch for each other while cut off', async () => {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c']);
      assert.ok(a && b && c);
      for (const cut of [a, b]) {
        cut.store.down = true;
        cluster.network.setLinkState(c.node.identity.vm, cut.node.identity.vm, 'cut');
        cluster.network.setLinkState(cut.node.identity.vm, c.node.identity.vm, 'cut');
      }
      await cluster.run(40);
      assert.ok(a.holds() && b.holds() && c.holds());
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
      a.kill();
      await cluster.run(20);
      assert.equal(b.holds(), false);
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
    });
  });

  describe('a VM that the platform has ended', () => {
    /** Members a and b, cut off from the store and c, keep each other going. */
    async function cutOff(
      unlisted: readonly string[] = [],
    ): Promise<[Cluster, Process, Process, Process]> {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c'], unlisted);
      assert.ok(a && b && c);
      for (const cut of [a, b]) {
        cut.store.down = true;
        cluster.network.setLinkState(c.node.identity.vm, cut.node.identity.vm, 'cut');
        cluster.network.setLinkState(cut.node.identity.vm, c.node.identity.vm, 'cut');
      }
      await cluster.run(40);
      assert.ok(a.holds() && b.holds());
      return [cluster, a, b, c];
    }

    it('is replaced although no majority of its electors is left', async () => {
      const [cluster] = await createCluster(['a', 'b', 'c']);
      cluster.list.lag = 1;
      cluster.end('a');
      cluster.end('b');
      cluster.add('d');
      cluster.add('e');
      await cluster.run(PERIODS.tenureTtlMs / 1_000 + 5);
      assert.deepEqual(members(cluster), ['c', 'd', 'e']);
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
    });

    it('can vouch for nobody any more', async () => {
      const [cluster, a, b, c] = await cutOff();
      // a is still there and cannot be asked; without b it has no majority.
      cluster.end('b');
      cluster.list.lag = 0;
      await cluster.run(2);
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(a.holds(), false);
      assert.equal(b.alive, false);
      assert.ok(c.holds());
      assert.deepEqual(members(cluster), ['c']);
    });

    it('is not one that a read of the list has left out', async () => {
      const [cluster, a, b, c] = await cutOff();
      for (let n = 0; n < 10; n += 1) {
        c.readList('a');
        c.start('record');
        await cluster.settle();
        cluster.check();
        await cluster.run(1);
      }
      assert.ok(a.holds() && b.holds());
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
    });

    it('is not one that the list has never shown', async () => {
      const [cluster, a, b] = await cutOff(['a', 'b']);
      await cluster.run(SETTLE_SECONDS);
      assert.ok(a.holds() && b.holds());
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
    });
  });

  describe('an outage of the store', () => {
    it('leaves tenure where a majority is linked, and ends it at the outage limit', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      assert.ok(a);
      for (const process of cluster.processes) {
        process.store.down = true;
      }
      await cluster.run(60);
      assert.ok(cluster.processes.every((each) => each.holds()));
      await cluster.run(70);
      assert.ok(cluster.processes.every((each) => !each.holds()));
      for (const process of cluster.processes) {
        process.store.down = false;
      }
      await cluster.run(SETTLE_SECONDS);
      assert.ok(cluster.processes.every((each) => each.holds()));
      assert.deepEqual(members(cluster), ['a', 'b', 'c']);
    });

    it('is bridged by a peer that still reaches the store', async () => {
      const [cluster, a] = await createCluster(['a', 'b']);
      assert.ok(a);
      a.store.down = true;
      await cluster.run(30);
      assert.ok(a.holds());
      assert.deepEqual(members(cluster), ['a', 'b']);
    });
  });

  describe('a minion that goes', () => {
    it('is dropped from the record once its slots are idle', async () => {
      const [cluster] = await createCluster(['a', 'b']);
      cluster.vms.splice(0, 1);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(cluster.record()?.minions.length, 2);
    });
  });
});
