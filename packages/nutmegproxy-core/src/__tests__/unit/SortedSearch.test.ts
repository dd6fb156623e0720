import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {findFirstIndex} from '../../SortedSearch.ts';

describe('findFirstIndex', () => {
  it('finds the first of equal elements, and the end of a list that is all before', () => {
    for (const list of [[], [1], [1, 3], [1, 3, 3, 5], [0, 1, 2, 3, 4, 5, 6]]) {
      for (let value = 0; value <= 7; value += 1) {
        const expected = list.findIndex((each) => each >= value);
        const found = findFirstIndex(list, (each) => each < value);
        assert.equal(found, expected < 0 ? list.length : expected);
      }
    }
  });
});
