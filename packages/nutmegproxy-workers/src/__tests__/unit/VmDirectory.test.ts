import type {EntryNode, NodeIdentity} from '@nutmegproxy/core';
import type {Vm} from '@nutmegproxy/schema';
import type {LeavingNotice} from '@nutmegproxy/schema';

import {brand, CommandBus, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {LocalNetwork} from '@nutmegproxy/standins';
import {deepEqual, equal} from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Registry} from 'prom-client';

import {VMS_CHANGED} from '../../index.ts';
import {LEAVING_NOTICE, MergedVmDirectory} from '../../MergedVmDirectory.ts';

function minion(id: string, overrides: Partial<Vm> = {}): Vm {
  return {
    address: '10.0.0.1:80',
    dataCentre: 'dc1',
    id,
    role: 'minion',
    state: 'live',
    ...overrides,
  };
}

class Process {
  changes = 0;
  readonly clock = new ManualClock();
  readonly directory: MergedVmDirectory;
  readonly identity: NodeIdentity;

  constructor(network: LocalNetwork, name: string, markCapacity?: number) {
    this.identity = {
      dataCentre: brand('dc1'),
      incarnation: brand(`${name}-1`),
      region: brand('r1'),
      vm: brand(name),
    };
    const bus = new CommandBus();
    const node: EntryNode = {
      bus,
      clock: this.clock,
      events: SILENT_EVENTS,
      identity: this.identity,
      metrics: new Registry(),
    };
    const mesh = network.attach(this.identity, this.clock);
    this.directory = new MergedVmDirectory(node, mesh, markCapacity);
    mesh.registerHandler(LEAVING_NOTICE, (body, _from, now) => {
      this.directory.addMarks((body as LeavingNotice).marks, 'peer', now);
    });
    bus.register(
      VMS_CHANGED,
      () => {
        this.changes += 1;
        return false;
      },
      1,
    );
  }

  list(revision: number, ...vms: Vm[]): void {
    this.directory.applyReport({revision, vms}, this.clock.monotonic());
  }

  mark(id: string): void {
    this.directory.markLeaving(brand(id), 'vm', this.clock.monotonic());
  }

  states(): string[] {
    return this.directory.vms().map(({id, state}) => `${id} ${state}`);
  }
}

describe('VmDirectory', () => {
  describe('marks', () => {
    it('persist while a lagging list shows the VM as live, unless its address changes', () => {
      const a = new Process(new LocalNetwork(), 'a');
      a.list(1, minion('m1'));
      a.mark('m1');
      a.list(2, minion('m1'));
      deepEqual(a.states(), ['m1 leaving']);
      a.list(3, minion('m1', {address: '10.0.0.2:80'}));
      deepEqual(a.states(), ['m1 live']);
      a.list(4, minion('m1'));
      deepEqual(a.states(), ['m1 leaving']);
    });

    it('are also added from the list and persist when the list shows the VM as live again', () => {
      const a = new Process(new LocalNetwork(), 'a');
      a.list(1, minion('m1', {state: 'leaving'}));
      a.list(2, minion('m1'));
      deepEqual(a.states(), ['m1 leaving']);
    });

    it('are bounded, and those of listed VMs are removed last', () => {
      const a = new Process(new LocalNetwork(), 'a', 2);
      a.list(1, minion('m1'));
      a.mark('m1');
      for (const vm of ['x1', 'x2', 'x3']) {
        a.directory.addMarks([{address: '10.9.9.9:1', vm}], 'peer', a.clock.monotonic());
      }
      deepEqual(a.states(), ['m1 leaving']);
    });
  });

  describe('peers', () => {
    it('receive a new mark immediately, even before their own list contains the VM', () => {
      const network = new LocalNetwork();
      const [a, b] = [new Process(network, 'a'), new Process(network, 'b')];
      a.list(1, minion('m1'));
      a.mark('m1');
      b.list(1, minion('m1'));
      deepEqual(b.states(), ['m1 leaving']);
    });

    it('that were partitioned receive the mark when it is broadcast again', () => {
      const network = new LocalNetwork();
      const [a, b] = [new Process(network, 'a'), new Process(network, 'b')];
      b.list(1, minion('m1'));
      a.list(1, minion('m1'));
      network.setLinkState(a.identity.vm, b.identity.vm, 'cut');
      a.mark('m1');
      deepEqual(b.states(), ['m1 live']);
      network.setLinkState(a.identity.vm, b.identity.vm, 'open');
      a.clock.advance(10_000);
      a.directory.rebroadcastMarks(a.clock.monotonic());
      deepEqual(b.states(), ['m1 leaving']);
    });
  });

  describe('list', () => {
    it('is ignored while its revision is lower, until enough consecutive reports are', () => {
      const a = new Process(new LocalNetwork(), 'a');
      a.list(5, minion('m1'));
      a.list(4, minion('old'));
      deepEqual(a.states(), ['m1 live']);
      for (let count = 0; count < 20; count += 1) {
        a.list(1, minion('new'));
      }
      deepEqual(a.states(), ['new live']);
    });

    it('must omit a VM several consecutive times before the VM is removed', () => {
      const a = new Process(new LocalNetwork(), 'a');
      a.list(1, minion('m1'));
      a.list(2);
      a.list(3);
      deepEqual(a.states(), ['m1 live']);
      a.list(4);
      deepEqual(a.states(), []);
    });

    it('triggers one notification per change and none for an unchanged report', () => {
      const a = new Process(new LocalNetwork(), 'a');
      a.list(1, minion('m1'));
      a.list(2, minion('m1'));
      equal(a.changes, 1);
      a.mark('m1');
      a.mark('m1');
      equal(a.changes, 2);
    });
  });
});
