import type {DataCentreId, EventKind, VmId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {EntryVm} from '../../VmRegistry.ts';

import {ENTRY_EVENTS} from '../../EntryEvents.ts';
import {VmRegistry} from '../../VmRegistry.ts';

const WAIT_ATTEMPTS = 500;

function createVm(name: string): EntryVm {
  return {
    address: '10.0.0.1:80',
    cores: 1,
    dataCentre: brand<DataCentreId>('dc'),
    relayAddress: '10.0.0.1:81',
    vm: brand<VmId>(name),
  };
}

describe('VmRegistry', () => {
  let events: EventKind[];
  let registry: VmRegistry;
  let store: MemoryStore;

  beforeEach(() => {
    events = [];
    store = new MemoryStore();
    registry = new VmRegistry({
      events: {record: (kind) => events.push(kind)},
      self: createVm('vm-1'),
      store,
    });
  });

  afterEach(async () => {
    await registry.close();
    await store.close();
  });

  it('lists the other VMs and leaves out entries that name none', async () => {
    const other = createVm('vm-2');
    const values = {
      'odd-1': '[{',
      'odd-2': JSON.stringify({...other, address: '10.0.0.1:99999'}),
      'odd-3': JSON.stringify({...other, cores: -1}),
      'odd-4': `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
      'odd-5': JSON.stringify({...other, relayAddress: '10.0.0.400:81'}),
      'vm-2': JSON.stringify(other),
    };
    for (const [name, value] of Object.entries(values)) {
      await put(store, `${STATE_PREFIX}vms/${name}`, Buffer.from(value));
    }
    registry.run();
    for (let attempt = 0; attempt < WAIT_ATTEMPTS && registry.peers.length === 0; attempt += 1) {
      await sleep(10);
    }
    assert.deepEqual(registry.peers, [other]);
    const malformed = events.filter((kind) => kind === ENTRY_EVENTS.VM_ENTRY_MALFORMED);
    assert.equal(malformed.length, 5);
  });
});
