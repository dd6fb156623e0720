import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeConcurrencyShare} from '../../ConcurrencyShares.ts';
import {DIGEST} from '../TestCluster.ts';

const SEED = 20_261_203;

describe('concurrency shares', () => {
  it('add up to the limit in each data centre', () => {
    fc.assert(
      fc.property(
        fc.integer({max: 40, min: 1}),
        fc.integer({max: 500, min: 1}),
        (count, concurrency) => {
          const entry = {...DIGEST, limits: {concurrency}};
          const local = Array.from({length: count}, (_, index) => `dc1/${index}`);
          const cells = [...local, ...local.map((name) => name.replace('dc1', 'dc2'))];
          const shares = local.map((cell) => computeConcurrencyShare(entry, cells, 'dc1', cell));
          assert.equal(
            shares.reduce((sum, share) => sum + share, 0),
            concurrency,
          );
        },
      ),
      {seed: SEED},
    );
  });

  it('are unlimited for an entry without a limit', () => {
    assert.equal(computeConcurrencyShare(DIGEST, ['dc1/a'], 'dc1', 'dc1/a'), Infinity);
  });
});
