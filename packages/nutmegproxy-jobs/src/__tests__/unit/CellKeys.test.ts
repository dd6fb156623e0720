import type {JobId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CellIndex, CellRecord} from '../../CellKeys.ts';
import type {JobPart} from '../../JobRecords.ts';

import {
  FIRST_CELL,
  formatFleetPrefix,
  formatOwnerKey,
  formatProgressPrefix,
  formatRecordKey,
  MAX_CELLS,
} from '../../CellKeys.ts';
import {formatJobKey, formatJobPrefix, parseJobKey} from '../../JobRecords.ts';

const ID = brand<JobId>('5c0e7a21d94b36f8');
const HEX_DIGITS = Array.from({length: 16}, (_, digit) => digit.toString(16));
const PARTS: readonly JobPart[] = ['cancel', 'progress', 'request'];
const RECORDS: readonly CellRecord[] = [
  'closing',
  'knowledge',
  'recording',
  'recovery',
  'roster',
  'term',
  'waiting',
];

const cells = fc.integer({max: MAX_CELLS - 1, min: 0}).map((cell) => cell as CellIndex);
const ids = fc
  .array(fc.constantFrom(...HEX_DIGITS), {maxLength: 16, minLength: 16})
  .map((digits) => brand<JobId>(digits.join('')));

function listKeys(cell: CellIndex): string[] {
  return [
    formatOwnerKey(cell),
    ...RECORDS.map((record) => formatRecordKey(record, cell)),
    ...PARTS.map((part) => formatJobKey(ID, part, cell)),
  ];
}

describe('keys of cells', () => {
  describe('of the first cell', () => {
    it('are those of a former version, which may run beside', () => {
      assert.deepEqual(listKeys(FIRST_CELL), [
        'nutmegproxy/fleet/owner',
        'nutmegproxy/state/closing',
        'nutmegproxy/state/knowledge',
        'nutmegproxy/state/recording',
        'nutmegproxy/state/recovery',
        'nutmegproxy/state/roster',
        'nutmegproxy/state/term',
        'nutmegproxy/state/waiting',
        'nutmegproxy/fleet/jobs/5c0e7a21d94b36f8/cancel',
        'nutmegproxy/progress/5c0e7a21d94b36f8',
        'nutmegproxy/fleet/jobs/5c0e7a21d94b36f8/request',
      ]);
      assert.equal(formatFleetPrefix(FIRST_CELL), 'nutmegproxy/fleet/');
      assert.equal(formatJobPrefix(ID), 'nutmegproxy/fleet/jobs/5c0e7a21d94b36f8/');
    });

    it('are the default of a job', () => {
      for (const part of PARTS) {
        assert.equal(formatJobKey(ID, part), formatJobKey(ID, part, FIRST_CELL));
      }
    });
  });

  it('are not read or watched by the owner of another cell', () => {
    fc.assert(
      fc.property(cells, cells, (cell, other) => {
        fc.pre(cell !== other);
        const read = [formatFleetPrefix(other), formatProgressPrefix(other)];
        const records = new Set(RECORDS.map((record) => formatRecordKey(record, other)));
        for (const key of listKeys(cell)) {
          assert.ok(!read.some((prefix) => key.startsWith(prefix)), key);
          assert.ok(!records.has(key), key);
        }
      }),
    );
  });

  it('name the cell, job and part that they were made of', () => {
    fc.assert(
      fc.property(cells, ids, fc.constantFrom(...PARTS), (cell, id, part) => {
        assert.deepEqual(parseJobKey(formatJobKey(id, part, cell)), {cell, id, part});
      }),
    );
  });

  it('name no job if the cell is malformed or beyond the bound', () => {
    for (const cell of ['0', '01', '-1', '1.5', 'x', '', String(MAX_CELLS), '9'.repeat(400)]) {
      assert.equal(parseJobKey(`nutmegproxy/cell/${cell}/progress/${ID}`), undefined);
    }
  });
});
