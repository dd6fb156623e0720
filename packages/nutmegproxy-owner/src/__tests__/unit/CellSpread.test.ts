import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CellHolder} from '../../OwnerPreference.ts';

import {chooseSpreadDelayMs, shouldSpread} from '../../OwnerPreference.ts';

const LONG_MS = 60_000;
const holders = fc.array(
  fc.record({cells: fc.nat({max: 8}), cores: fc.constantFrom(0.12, 0.324, 1.35)}),
  {maxLength: 8, minLength: 2},
);

/** Returns the VM that acquires a free cell: one that waits least. */
function chooseNext(vms: readonly CellHolder[], cores: number): number {
  const waits = vms.map((vm) =>
    vm.cores < cores / 1.3 ? Infinity : chooseSpreadDelayMs(vm.cells),
  );
  return waits.indexOf(Math.min(...waits));
}

describe('The spreading of cells', () => {
  it('ends: no cell goes to and fro between VMs', () => {
    fc.assert(
      fc.property(holders, (drawn) => {
        const vms = drawn.map((vm) => ({...vm}));
        const total = vms.reduce((sum, {cells}) => sum + cells, 0);
        let moves = 0;
        for (;;) {
          const giver = vms.findIndex((vm) =>
            shouldSpread(
              vm,
              vms.filter((each) => each !== vm),
              LONG_MS,
            ),
          );
          const from = vms[giver];
          if (from === undefined) {
            break;
          }
          from.cells -= 1;
          const to = vms[chooseNext(vms, from.cores)];
          assert.ok(to !== undefined && to !== from);
          to.cells += 1;
          moves += 1;
          assert.ok(moves <= total * vms.length, 'it does not end');
        }
      }),
    );
  });

  it('leaves VMs of one size with numbers of cells that differ by one at most', () => {
    fc.assert(
      fc.property(holders, (drawn) => {
        const vms = drawn.map(({cells}) => ({cells, cores: 1}));
        const isSettled = vms.every(
          (vm) =>
            !shouldSpread(
              vm,
              vms.filter((each) => each !== vm),
              LONG_MS,
            ),
        );
        const counts = vms.map(({cells}) => cells);
        assert.equal(isSettled, Math.max(...counts) - Math.min(...counts) <= 1);
      }),
    );
  });

  it('does not give a cell up alone, early, or to a clearly smaller VM', () => {
    const self = {cells: 3, cores: 1.35};
    assert.equal(shouldSpread(self, [], LONG_MS), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 1.35}], 1_000), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 0.324}], LONG_MS), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 1.35}], LONG_MS), true);
  });
});
