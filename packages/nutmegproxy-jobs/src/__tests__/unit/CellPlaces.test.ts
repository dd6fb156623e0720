import type {JobId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CellIndex} from '../../CellKeys.ts';

import {formatFleetPrefix, formatProgressPrefix, MAX_CELLS, STATE_PREFIX} from '../../CellKeys.ts';
import {decodePlace, encodePlace, formatPlaceKey} from '../../CellPlaces.ts';
import {parseJobKey} from '../../JobRecords.ts';

const ID = brand<JobId>('5c0e7a21d94b36f8');

describe('places', () => {
  it('are read or watched by no owner, and name no part of a job', () => {
    const key = formatPlaceKey(ID);
    assert.equal(key, 'nutmegproxy/place/5c0e7a21d94b36f8');
    assert.equal(parseJobKey(key), undefined);
    for (let cell = 0; cell < MAX_CELLS; cell += 1) {
      assert.ok(!key.startsWith(formatFleetPrefix(cell as CellIndex)));
      assert.ok(!key.startsWith(formatProgressPrefix(cell as CellIndex)));
    }
    assert.ok(!key.startsWith(STATE_PREFIX));
  });

  it('name the cell that they were made of, of a fleet that has it', () => {
    fc.assert(
      fc.property(fc.nat(MAX_CELLS - 1), fc.integer({max: MAX_CELLS, min: 1}), (number, cells) => {
        const decoded = decodePlace(encodePlace(number as CellIndex), cells);
        assert.equal(decoded.isOk(), number < cells);
        assert.equal(decoded.unwrapOr(undefined), number < cells ? number : undefined);
      }),
    );
  });

  it('are malformed with any other value', () => {
    for (const text of [
      '',
      '{',
      'null',
      '7',
      '{}',
      '{"cell":-1}',
      '{"cell":1.5}',
      '{"cell":"1"}',
    ]) {
      assert.ok(decodePlace(Buffer.from(text), MAX_CELLS).isErr(), text);
    }
  });
});
