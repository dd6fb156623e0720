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
      .filter((each) => each.isAlive && each.holdsTenure())
      .reduce((sum, each) => sum + each.membership.ownShare(minion), 0),
  );
}

function listMembers(cluster: Cluster): string[] {
  return (cluster.record()?.members ?? []).map(({vm}) => vm).sort();
}

describe('membership', () => {
  describe('joining', () => {
    it('assigns every member its share of slots and cells', async () => {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c']);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
      const counts = [a, b, c].map((each) => (each ? countCells(cluster, each) : 0));
      assert.deepEqual(counts.sort(), [1, 2, 2]);
    });

    it('moves slots to a later member only when they are idle', async () => {
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

    it('that differ from those of the members prevent a process from joining', async () => {
      const [cluster] = await createCluster(['a']);
      const b = cluster.add('b', 1, other);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(b.holdsTenure(), false);
      assert.deepEqual(listMembers(cluster), ['a']);
    });

    it('can be changed when there are no members', async () => {
      const [cluster, a] = await createCluster(['a']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      const b = cluster.add('b', 1, other);
      await cluster.run(SETTLE_SECONDS);
      assert.ok(b.holdsTenure());
      assert.deepEqual(cluster.record()?.periods, other);
    });
  });

  describe('a planned stop', () => {
    it('hands over shares and cells before leaving', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(listMembers(cluster), ['b', 'c']);
      assert.equal(a?.membership.hasLeft, true);
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
      assert.deepEqual(listMembers(cluster), ['a', 'b']);
      for (const released of waiting) {
        released();
      }
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(listMembers(cluster), ['b']);
    });

    it('of the last member leaves an empty record', async () => {
      const [cluster, a] = await createCluster(['a']);
      a?.membership.leave();
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(listMembers(cluster), []);
      const b = cluster.add('b');
      await cluster.run(SETTLE_SECONDS);
      assert.equal(countCells(cluster, b), 5);
    });
  });

  describe('takeover', () => {
    it('removes a killed member and reuses its slots after its requests have ended', async () => {
      const [cluster, a, b] = await createCluster(['a', 'b', 'c']);
      a?.kill();
      await cluster.run(PERIODS.tenureTtlMs / 1_000 + 3);
      assert.deepEqual(listMembers(cluster), ['b', 'c']);
      assert.ok(sumShares(cluster).every((sum) => sum < 8));
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
      assert.ok(b && countCells(cluster, b) >= 2);
    });

    it('replaces the earlier process of a restarted VM immediately', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      a?.kill();
      cluster.add('a');
      await cluster.run(2);
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
      assert.equal(
        cluster.record()?.members.some((each) => each.incarnation === a?.node.identity.incarnation),
        false,
      );
    });

    it('never removes two partitioned members that vouch for each other', async () => {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c']);
      assert.ok(a && b && c);
      for (const member of [a, b]) {
        member.store.isDown = true;
        cluster.network.setPassage(c.node.identity.vm, member.node.identity.vm, 'cut');
        cluster.network.setPassage(member.node.identity.vm, c.node.identity.vm, 'cut');
      }
      await cluster.run(40);
      assert.ok(a.holdsTenure() && b.holdsTenure() && c.holdsTenure());
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
      a.kill();
      await cluster.run(20);
      assert.equal(b.holdsTenure(), false);
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
    });
  });

  describe('a VM that the platform has terminated', () => {
    /** Partitions members a and b from the store and c; they hold tenure by vouching. */
    async function createPartition(
      unlisted: readonly string[] = [],
    ): Promise<[Cluster, Process, Process, Process]> {
      const [cluster, a, b, c] = await createCluster(['a', 'b', 'c'], unlisted);
      assert.ok(a && b && c);
      for (const member of [a, b]) {
        member.store.isDown = true;
        cluster.network.setPassage(c.node.identity.vm, member.node.identity.vm, 'cut');
        cluster.network.setPassage(member.node.identity.vm, c.node.identity.vm, 'cut');
      }
      await cluster.run(40);
      assert.ok(a.holdsTenure() && b.holdsTenure());
      return [cluster, a, b, c];
    }

    it('is replaced even if no majority of its electors is left', async () => {
      const [cluster] = await createCluster(['a', 'b', 'c']);
      cluster.list.lag = 1;
      cluster.endVm('a');
      cluster.endVm('b');
      cluster.add('d');
      cluster.add('e');
      await cluster.run(PERIODS.tenureTtlMs / 1_000 + 5);
      assert.deepEqual(listMembers(cluster), ['c', 'd', 'e']);
      await cluster.run(SETTLE_SECONDS);
      assert.deepEqual(sumShares(cluster), [8, 8, 8]);
    });

    it('cannot vouch for any member', async () => {
      const [cluster, a, b, c] = await createPartition();
      // Member a is running but unreachable; without b it has no majority.
      cluster.endVm('b');
      cluster.list.lag = 0;
      await cluster.run(2);
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(a.holdsTenure(), false);
      assert.equal(b.isAlive, false);
      assert.ok(c.holdsTenure());
      assert.deepEqual(listMembers(cluster), ['c']);
    });

    it('is not assumed when single reads of the list omit a VM', async () => {
      const [cluster, a, b, c] = await createPartition();
      for (let n = 0; n < 10; n += 1) {
        c.readList('a');
        c.startStep('record');
        await cluster.settleCalls();
        cluster.checkInvariants();
        await cluster.run(1);
      }
      assert.ok(a.holdsTenure() && b.holdsTenure());
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
    });

    it('is not assumed when the list has never contained a VM', async () => {
      const [cluster, a, b] = await createPartition(['a', 'b']);
      await cluster.run(SETTLE_SECONDS);
      assert.ok(a.holdsTenure() && b.holdsTenure());
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
    });
  });

  describe('an outage of the store', () => {
    it('does not end tenure of a linked majority until the outage limit', async () => {
      const [cluster, a] = await createCluster(['a', 'b', 'c']);
      assert.ok(a);
      for (const process of cluster.processes) {
        process.store.isDown = true;
      }
      await cluster.run(60);
      assert.ok(cluster.processes.every((each) => each.holdsTenure()));
      await cluster.run(70);
      assert.ok(cluster.processes.every((each) => !each.holdsTenure()));
      for (const process of cluster.processes) {
        process.store.isDown = false;
      }
      await cluster.run(SETTLE_SECONDS);
      assert.ok(cluster.processes.every((each) => each.holdsTenure()));
      assert.deepEqual(listMembers(cluster), ['a', 'b', 'c']);
    });

    it('does not end tenure while a peer relays renewals to the store', async () => {
      const [cluster, a] = await createCluster(['a', 'b']);
      assert.ok(a);
      a.store.isDown = true;
      await cluster.run(30);
      assert.ok(a.holdsTenure());
      assert.deepEqual(listMembers(cluster), ['a', 'b']);
    });
  });

  describe('a minion that is removed', () => {
    it('is deleted from the record once its slots are idle', async () => {
      const [cluster] = await createCluster(['a', 'b']);
      cluster.vms.splice(0, 1);
      await cluster.run(SETTLE_SECONDS);
      assert.equal(cluster.record()?.minions.length, 2);
    });
  });
});
