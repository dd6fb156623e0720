import type {JobId, MinionId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {findJobCell, findMinionCell, listCells} from '../../CellChoice.ts';
import {FIRST_CELL, MAX_CELLS} from '../../CellKeys.ts';

/** Largest share of the mean by which a cell may be larger or smaller. */
const MAX_SPREAD = 0.25;
const MINIONS = 4_000;

const counts = fc.integer({max: MAX_CELLS, min: 1});

function countByCell(cells: number, find: (number: number) => number): number[] {
  const sizes = listCells(cells).map(() => 0);
  for (let number = 0; number < MINIONS; number += 1) {
    const cell = find(number);
    sizes[cell] = (sizes[cell] ?? 0) + 1;
  }
  return sizes;
}

function checkSizes(sizes: readonly number[]): void {
  const mean = MINIONS / sizes.length;
  for (const size of sizes) {
    assert.ok(Math.abs(size - mean) <= mean * MAX_SPREAD, sizes.join(' '));
  }
}

describe('the choice of a cell', () => {
  it('is the only cell of a fleet that is not divided', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        assert.equal(findMinionCell(brand<MinionId>(text), 1), FIRST_CELL);
        assert.equal(findJobCell(brand<JobId>(text), 1), FIRST_CELL);
      }),
    );
  });

  it('names a cell of the fleet, the same one each time, for any id', () => {
    fc.assert(
      fc.property(fc.string(), counts, (text, cells) => {
        const cell = findMinionCell(brand<MinionId>(text), cells);
        assert.ok(listCells(cells).includes(cell));
        assert.equal(findMinionCell(brand<MinionId>(text), cells), cell);
        assert.ok(listCells(cells).includes(findJobCell(brand<JobId>(text), cells)));
      }),
    );
  });

  it('makes cells of similar size, also of minions whose ids are numbered', () => {
    for (const prefix of ['m', 'i-', 'oportuna-occ-a-', '']) {
      for (let cells = 1; cells <= MAX_CELLS; cells += 1) {
        checkSizes(
          countByCell(cells, (number) =>
            findMinionCell(brand<MinionId>(`${prefix}${number}`), cells),
          ),
        );
      }
    }
  });

  it('gives each cell a similar number of jobs, also of jobs whose ids are numbered', () => {
    for (let cells = 1; cells <= MAX_CELLS; cells += 1) {
      checkSizes(
        countByCell(cells, (number) =>
          findJobCell(brand<JobId>(number.toString(16).padStart(16, '0')), cells),
        ),
      );
    }
  });
});
