import type {EntryNode} from '@nutmegproxy/core';

import {brand, CommandBus, DRAIN_STARTED, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {LocalNetwork, MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Registry} from 'prom-client';

import type {CellAcquisition} from '../../index.ts';

import {CELL_ACQUIRED, registerMembership} from '../../index.ts';

const WAIT_LIMIT_MS = 8_000;
const VMS = [
  {
    address: '1',
    dataCentre: 'dc',
    id: 'm',
    role: 'minion' as const,
    slots: 8,
    state: 'live' as const,
  },
  {
    address: '1',
    dataCentre: 'dc',
    id: 'w',
    rack: 'r',
    role: 'worker' as const,
    state: 'live' as const,
  },
];

function createNode(vm: string): EntryNode {
  return {
    bus: new CommandBus(),
    clock: SYSTEM_CLOCK,
    events: SILENT_EVENTS,
    identity: {
      dataCentre: brand('dc'),
      incarnation: brand(`${vm}.1`),
      region: brand('region'),
      vm: brand(vm),
    },
    metrics: new Registry(),
  };
}

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    assert.ok(performance.now() < deadline, 'condition not met in time');
    await sleep(5);
  }
}

describe('registerMembership', () => {
  it('joins, shares slots with a second process and hands everything over on a drain', async () => {
    const network = new LocalNetwork();
    const store = new MemoryStore();
    const start = (vm: string) => {
      const node = createNode(vm);
      const acquired: CellAcquisition[] = [];
      node.bus.register(CELL_ACQUIRED, (cell) => acquired.push(cell) < 0, 0);
      const mesh = network.attach(node.identity, node.clock);
      const {membership, unregister} = registerMembership(node, {
        departures: {departedSince: () => undefined},
        directory: {vms: () => VMS},
        mesh,
        peerAddress: `${vm}:1`,
        pollMs: 20,
        prefix: '/test',
        store,
        tickMs: 20,
      });
      return {acquired, membership, node, unregister};
    };
    const minion = brand<never>('m');
    const a = start('a');
    await waitFor(() => a.membership.ownShare(minion) === 8 && a.acquired.length === 1);
    const b = start('b');
    await waitFor(() => a.membership.ownShare(minion) + b.membership.ownShare(minion) === 8);
    await waitFor(() => b.membership.ownShare(minion) === 4);
    const waits: Promise<void>[] = [];
    a.node.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
    await Promise.all(waits);
    await waitFor(() => b.membership.ownShare(minion) === 8 && b.acquired.length === 1);
    assert.equal(a.membership.holdsTenure(SYSTEM_CLOCK.monotonic()), false);
    assert.ok((b.acquired[0]?.epoch ?? 0) > (a.acquired[0]?.epoch ?? 0));
    a.unregister();
    b.unregister();
    await store.close();
  });
});
