import type {DataCentreId, Instant, VmId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EntryVm} from '../../VmRegistry.ts';

import {PeerSelector} from '../../PeerSelector.ts';

const at = (ms: number): Instant => ms as Instant;

function createVm(name: string, dataCentre: string): EntryVm {
  return {
    address: `${name}:1`,
    cores: 1,
    dataCentre: brand<DataCentreId>(dataCentre),
    vm: brand<VmId>(name),
  };
}

describe('PeerSelector', () => {
  const others = [createVm('b1', 'dc-b'), createVm('a2', 'dc-a'), createVm('a3', 'dc-a')];

  it('prefers VMs of its own data centre', () => {
    const selector = new PeerSelector(brand<DataCentreId>('dc-a'));
    const names = selector.select(others, 2, 0, at(0)).map((each) => each.vm);
    assert.deepEqual(names.sort(), ['a2', 'a3']);
  });

  it('skips a VM that failed recently, and selects it again after the cooldown', () => {
    const selector = new PeerSelector(brand<DataCentreId>('dc-a'));
    selector.recordFailure(brand<VmId>('a2'), at(0));
    const names = selector.select(others, 3, 0, at(100)).map((each) => each.vm);
    assert.deepEqual(names, ['a3', 'b1']);
    assert.equal(selector.select(others, 3, 0, at(2_000)).length, 3);
  });

  it('selects no VM while all have just failed, so that callers are refused at once', () => {
    const selector = new PeerSelector(brand<DataCentreId>('dc-a'));
    for (const {vm: name} of others) {
      selector.recordFailure(name, at(0));
    }
    assert.deepEqual(selector.select(others, 2, 0.5, at(500)), []);
  });

  it('spreads the load over equally suitable VMs', () => {
    const selector = new PeerSelector(brand<DataCentreId>('dc-c'));
    const first = new Set(
      [0, 0.4, 0.7].map((random) => selector.select(others, 1, random, at(0))[0]?.vm),
    );
    assert.equal(first.size, 3);
  });

  it('selects no VM when no other VM is listed', () => {
    assert.deepEqual(new PeerSelector(brand<DataCentreId>('dc-a')).select([], 2, 0.9, at(0)), []);
  });
});
