import type {DataCentreId, Instant, VmId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EntryVm} from '../../VmRegistry.ts';

import {VmCensus} from '../../VmCensus.ts';

/** VMs of each data centre, as on a deployment in use. */
const SIZES: Readonly<Record<string, number>> = {a: 10, b: 10, c: 8, d: 8};
const DATA_CENTRES = Object.keys(SIZES);
/** Time in milliseconds between two lists. */
const LIST_INTERVAL_MS = 6_000;
/** Lists after which a VM that none of them has is forgotten. */
const MANY_LISTS = 200;
/** Tries of a caller, each at another VM. */
const TRIES = 5;

function createVm(name: string, cores = 1): EntryVm {
  return {
    address: '10.0.0.1:80',
    cores,
    dataCentre: brand<DataCentreId>(name.slice(0, 1)),
    vm: brand<VmId>(name),
  };
}

const ALL_VMS = Object.entries(SIZES).flatMap(([dataCentre, size]) =>
  Array.from({length: size}, (_, index) => createVm(`${dataCentre}-${index + 1}`)),
);

function at(list: number): Instant {
  return (list * LIST_INTERVAL_MS) as Instant;
}

function listPeers(self: EntryVm, listed: readonly EntryVm[]): EntryVm[] {
  return listed.filter(({vm}) => vm !== self.vm);
}

/** Whether a VM that knew some VMs is ready once it has read the list of those that are left twice. */
function isReady(self: EntryVm, left: readonly EntryVm[], known: readonly EntryVm[]): boolean {
  const census = new VmCensus(self);
  census.record(listPeers(self, known), at(0));
  census.record(listPeers(self, left), at(1));
  census.record(listPeers(self, left), at(2));
  return !census.leavesCallers;
}

function listReady(left: readonly EntryVm[]): EntryVm[] {
  return left.filter((self) => isReady(self, left, ALL_VMS));
}

/** Returns the VMs that the balancer sends the callers of a data centre to. */
function route(dataCentre: string, ready: readonly EntryVm[]): readonly EntryVm[] {
  const near = ALL_VMS.filter((vm) => vm.dataCentre === dataCentre);
  const nearReady = ready.filter((vm) => vm.dataCentre === dataCentre);
  if (nearReady.length === 0) {
    return ready;
  }
  return nearReady.length < near.length / 2 ? near : nearReady;
}

/** Returns the share of callers that reach none of the VMs left with all their tries. */
function findUnreached(dataCentre: string, left: readonly EntryVm[], ready: readonly EntryVm[]) {
  const targets = route(dataCentre, ready);
  const names = new Set(left.map(({vm}) => vm));
  const dark = targets.filter(({vm}) => !names.has(vm)).length;
  let share = 1;
  for (let tried = 0; tried < Math.min(TRIES, targets.length); tried += 1) {
    share *= Math.max(dark - tried, 0) / (targets.length - tried);
  }
  return share;
}

function findAllUnreached(left: readonly EntryVm[], ready: readonly EntryVm[]): number[] {
  return DATA_CENTRES.map((dataCentre) => findUnreached(dataCentre, left, ready));
}

describe('VmCensus', () => {
  describe('callers of four data centres with 7 of 36 VMs left', () => {
    const left = ['a-2', 'b-8', 'c-2', 'c-6', 'd-2', 'd-3', 'd-8'].map((name) => createVm(name));

    it('reach a VM in all data centres but one, where they do within their tries', () => {
      const unreached = findAllUnreached(left, listReady(left));
      assert.deepEqual(
        unreached.map((share) => share.toFixed(3)),
        ['0.000', '0.000', '0.000', '0.018'],
      );
      const before = findAllUnreached(left, left).map((share) => share.toFixed(3));
      assert.deepEqual(before, ['0.500', '0.500', '0.107', '0.018']);
    });
  });

  describe('callers of data centres that lose any of their VMs', () => {
    it('reach a VM as often as without it, or more often, in each data centre', () => {
      fc.assert(
        fc.property(fc.subarray(ALL_VMS, {minLength: 1}), (left) => {
          const before = findAllUnreached(left, left);
          const after = findAllUnreached(left, listReady(left));
          for (const [index, share] of after.entries()) {
            assert.ok(share <= (before[index] ?? 0));
          }
        }),
        {numRuns: 500},
      );
    });
  });

  describe('a VM of a data centre with half of its VMs', () => {
    it('is ready though another data centre has more', () => {
      const left = ALL_VMS.filter(({vm}) => !vm.startsWith('a') || /-[1-5]$/.test(vm));
      assert.equal(listReady(left).length, left.length);
    });
  });

  describe('a VM of a data centre with few VMs left', () => {
    const self = createVm('c-4');
    const few = [createVm('a-1'), createVm('a-2')];

    it('is ready after lists at once that lack the others, as right after a store outage', () => {
      const census = new VmCensus(self);
      census.record(listPeers(self, ALL_VMS), at(0));
      census.record(few, at(1));
      census.record(few, (at(1) + 150) as Instant);
      assert.deepEqual([census.leavesCallers, census.isUnconfirmed], [false, true]);
      census.record(listPeers(self, ALL_VMS), at(2));
      assert.deepEqual([census.leavesCallers, census.isUnconfirmed], [false, false]);
    });

    it('is ready again once the others are back', () => {
      const census = new VmCensus(self);
      census.record(listPeers(self, ALL_VMS), at(0));
      census.record(few, at(1));
      census.record(few, at(2));
      assert.equal(census.leavesCallers, true);
      census.record(listPeers(self, ALL_VMS), at(3));
      assert.equal(census.leavesCallers, false);
    });

    it('is ready while those of other data centres have no configuration yet', () => {
      const census = new VmCensus(self);
      const starting = few.map((vm) => ({...vm, canOwn: false}));
      census.record(listPeers(self, ALL_VMS), at(0));
      census.record(starting, at(1));
      census.record(starting, at(2));
      assert.equal(census.leavesCallers, false);
      census.record(few, at(3));
      assert.equal(census.leavesCallers, true);
    });

    it('is ready again once the others count as gone for good', () => {
      const census = new VmCensus(self);
      census.record(listPeers(self, ALL_VMS), at(0));
      for (let list = 1; list < MANY_LISTS; list += 1) {
        census.record(few, at(list));
      }
      assert.equal(census.leavesCallers, false);
    });
  });

  describe('VMs that are replaced one after the other by others with new names', () => {
    it('stay ready', () => {
      const census = new VmCensus(createVm('a-1'));
      for (let list = 0; list < MANY_LISTS; list += 1) {
        const others = Array.from({length: 9}, (_, index) => createVm(`a-${list + index + 2}`));
        census.record([...others, ...ALL_VMS.filter(({vm}) => vm.startsWith('b'))], at(list));
        assert.equal(census.leavesCallers, false);
      }
    });
  });

  describe('VMs that read the same list', () => {
    it('are never all without callers, whatever each of them knew before', () => {
      const someVms = fc.subarray(ALL_VMS);
      fc.assert(
        fc.property(fc.subarray(ALL_VMS, {minLength: 1}), fc.array(someVms), (left, known) => {
          assert.ok(left.some((self, index) => isReady(self, left, known[index] ?? [])));
        }),
      );
    });
  });
});
