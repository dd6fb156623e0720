import {deepEqual, ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {runSeed} from '../../SeededRun.ts';

/** Seeds whose runs inject a pause, a kill, a partition, lost responses and a stop. */
const SEEDS = [1, 2];

describe('runSeed', () => {
  for (const seed of SEEDS) {
    it(`finds no violation with seed ${seed}`, async () => {
      const {operations, violations} = await runSeed({seed});
      ok((operations['requests answered'] ?? 0) > 0, 'requests were answered');
      ok((operations['jobs accepted'] ?? 0) > 0, 'jobs were accepted');
      deepEqual(violations.slice(0, 10), []);
    });
  }
});
