import type {DataCentreId, VmId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EntryVm} from '../../VmRegistry.ts';

import {VmCensus} from '../../VmCensus.ts';

const DATA_CENTRES = ['a', 'b', 'c'];
const VMS_PER_DATA_CENTRE = 12;
/** Lists after which a VM that none of them has is forgotten. */
const MANY_LISTS = 200;

function createVm(name: string, cores = 1): EntryVm {
  return {
    address: '10.0.0.1:80',
    cores,
    dataCentre: brand<DataCentreId>(name.slice(0, 1)),
    vm: brand<VmId>(name),
  };
}

const ALL_VMS = DATA_CENTRES.flatMap((dataCentre) =>
  Array.from({length: VMS_PER_DATA_CENTRE}, (_, index) => createVm(`${dataCentre}-${index + 1}`)),
);

/** Records the list that a VM reads, twice, so that it counts. */
function recordTwice(census: VmCensus, self: EntryVm, listed: readonly EntryVm[]): void {
  const peers = listed.filter(({vm}) => vm !== self.vm);
  census.record(peers);
  census.record(peers);
}

/** Returns the names of the VMs that are ready, once all others have lost power. */
function listReady(left: readonly EntryVm[], known: readonly EntryVm[] = ALL_VMS): string[] {
  return left
    .filter((self) => {
      const census = new VmCensus(self);
      census.record(known.filter(({vm}) => vm !== self.vm));
      recordTwice(census, self, left);
      return !census.leavesCallers;
    })
    .map(({vm}) => vm);
}

/** Returns the VMs that the platform's balancer sends the callers of a data centre to. */
function route(dataCentre: string, ready: readonly string[]): string[] {
  const near = ALL_VMS.map(({vm}): string => vm).filter((vm) => vm.startsWith(dataCentre));
  const nearReady = near.filter((vm) => ready.includes(vm));
  if (nearReady.length === 0) {
    return [...ready];
  }
  return nearReady.length < near.length / 2 ? near : nearReady;
}

describe('VmCensus', () => {
  describe('callers of three data centres, two of which have one VM of twelve left', () => {
    it('are not sent to VMs without power, but for those of one data centre', () => {
      const left = [createVm('a-1', 2), createVm('c-4')];
      const names = left.map(({vm}): string => vm);
      const served = DATA_CENTRES.filter((dataCentre) =>
        route(dataCentre, listReady(left)).every((vm) => names.includes(vm)),
      );
      assert.deepEqual(served, ['b', 'c']);
    });

    it('are sent to the data centre that has kept most of its VMs', () => {
      const left = ALL_VMS.filter(({vm}) => vm.startsWith('b') || vm === 'a-1' || vm === 'c-1');
      const ready = listReady(left);
      assert.equal(ready.length, VMS_PER_DATA_CENTRE);
      assert.ok(ready.every((vm) => vm.startsWith('b')));
    });
  });

  describe('a VM of a data centre with half of its VMs', () => {
    it('is ready though another data centre has more', () => {
      const left = ALL_VMS.filter(({vm}) => !vm.startsWith('a') || /-[1-6]$/.test(vm));
      assert.equal(listReady(left).length, left.length);
    });
  });

  describe('a VM of a data centre with few VMs left', () => {
    const self = createVm('c-4');
    const few = [createVm('a-1'), createVm('a-2')];

    it('is ready after one list that lacks the others, as right after a store outage', () => {
      const census = new VmCensus(self);
      census.record(ALL_VMS.filter(({vm}) => vm !== self.vm));
      census.record(few);
      assert.deepEqual([census.leavesCallers, census.isUnconfirmed], [false, true]);
      census.record(ALL_VMS.filter(({vm}) => vm !== self.vm));
      assert.deepEqual([census.leavesCallers, census.isUnconfirmed], [false, false]);
    });

    it('is ready again once the others are back', () => {
      const census = new VmCensus(self);
      census.record(ALL_VMS.filter(({vm}) => vm !== self.vm));
      recordTwice(census, self, few);
      assert.equal(census.leavesCallers, true);
      census.record(ALL_VMS.filter(({vm}) => vm !== self.vm));
      assert.equal(census.leavesCallers, false);
    });

    it('is ready again once the others count as gone for good', () => {
      const census = new VmCensus(self);
      census.record(ALL_VMS.filter(({vm}) => vm !== self.vm));
      for (let list = 0; list < MANY_LISTS; list += 1) {
        census.record(few);
      }
      assert.equal(census.leavesCallers, false);
    });
  });

  describe('VMs that read the same list', () => {
    it('are never all without callers, whatever each of them knew before', () => {
      const someVms = fc.subarray(ALL_VMS);
      fc.assert(
        fc.property(fc.subarray(ALL_VMS, {minLength: 1}), fc.array(someVms), (left, known) => {
          const ready = left.filter((self, index) => {
            const census = new VmCensus(self);
            census.record(known[index] ?? []);
            recordTwice(census, self, left);
            return !census.leavesCallers;
          });
          assert.ok(ready.length > 0);
        }),
      );
    });
  });
});
