import {MAX_CELLS} from '@nutmegproxy/jobs';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CellHolder} from '../../OwnerPreference.ts';

import {TAKEOVER_JITTER_MS} from '../../OwnerConstants.ts';
import {
  chooseCellCount,
  chooseSpreadDelayMs,
  chooseTakeoverDelayMs,
  countCellsOfLarger,
  shouldSpread,
} from '../../OwnerPreference.ts';

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

  it('leaves a free cell to one of the largest VMs, however many cells they own', () => {
    fc.assert(
      fc.property(holders, (vms) => {
        const waits = vms.map(({cells, cores}, index) => {
          const others = vms.filter((_, other) => other !== index);
          const otherCores = others.map((other) => other.cores);
          return (
            chooseTakeoverDelayMs(cores, otherCores) +
            chooseSpreadDelayMs(cells, countCellsOfLarger(cores, others))
          );
        });
        const largest = Math.max(...vms.map(({cores}) => cores));
        const longestOfLargest = Math.max(
          ...waits.filter((_, index) => vms[index]?.cores === largest),
        );
        for (const [index, {cores}] of vms.entries()) {
          assert.ok(
            cores === largest || (waits[index] ?? 0) > longestOfLargest + TAKEOVER_JITTER_MS,
          );
        }
      }),
    );
  });

  it('gives no cell up for a VM that lets larger ones go first, so that the giver would acquire it again', () => {
    const self = {cells: 2, cores: 1};
    const others = [
      {cells: 0, cores: 0.8},
      {cells: 2, cores: 1.2},
    ];
    assert.equal(shouldSpread(self, others, LONG_MS), false);
    assert.equal(shouldSpread(self, others.slice(0, 1), LONG_MS), true);
  });

  it('does not give a cell up alone, early, or to a clearly smaller VM', () => {
    const self = {cells: 3, cores: 1.35};
    assert.equal(shouldSpread(self, [], LONG_MS), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 1.35}], 1_000), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 0.324}], LONG_MS), false);
    assert.equal(shouldSpread(self, [{cells: 0, cores: 1.35}], LONG_MS), true);
  });
});

describe('The choice of the number of cells', () => {
  const fleets = fc.record({
    cores: fc.array(fc.constantFrom(0.001, 0.12, 0.324, 0.675, 1.35), {
      maxLength: 40,
      minLength: 1,
    }),
    minions: fc.nat({max: 3_000}),
  });

  it('is a number of cells that there can be, and leaves each one enough minions and an owner', () => {
    fc.assert(
      fc.property(fleets, ({cores, minions}) => {
        const cells = chooseCellCount(minions, cores);
        assert.ok(Number.isInteger(cells) && cells >= 1 && cells <= MAX_CELLS);
        assert.ok(cells === 1 || minions / cells >= 40);
        assert.ok(cells <= cores.length);
      }),
    );
  });

  it('does not grow with larger VMs, nor shrink with more minions', () => {
    fc.assert(
      fc.property(fleets, ({cores, minions}) => {
        const cells = chooseCellCount(minions, cores);
        assert.ok(
          chooseCellCount(
            minions,
            cores.map((each) => each * 2),
          ) <= cells,
        );
        assert.ok(chooseCellCount(minions + 100, cores) >= cells);
      }),
    );
  });

  it('is one where the largest VM carries the fleet, and for small fleets', () => {
    assert.equal(chooseCellCount(890, [1.35, 1.35, 0.324, 0.324]), 1);
    assert.equal(chooseCellCount(66, [0.675, 0.675, 0.675]), 1);
    assert.equal(chooseCellCount(60, [0.12, 0.12, 0.12]), 1);
    assert.equal(chooseCellCount(0, [0.12, 0.12]), 1);
    assert.equal(chooseCellCount(10, []), 1);
  });

  it('is two for the fleets of small VMs that one of them does not carry', () => {
    assert.equal(chooseCellCount(95, Array<number>(21).fill(0.12)), 2);
    assert.equal(chooseCellCount(85, Array<number>(21).fill(0.12)), 2);
    assert.equal(chooseCellCount(79, Array<number>(21).fill(0.1)), 1);
  });

  it('is more where no VM carries the fleet alone', () => {
    assert.equal(chooseCellCount(205, Array<number>(34).fill(0.12)), 3);
    assert.equal(chooseCellCount(135, Array<number>(36).fill(0.12)), 2);
  });
});
