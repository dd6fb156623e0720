/** Where overdue backfill starts when the time of a round is up before the minions that tolerate it were tried. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {planStarts} from '../../StartPlanner.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape, wallAt} from './Samples.ts';

const OVERDUE_MS = 20_000;
const JOBS = 3;
const MOST_CALLS = 12;

describe('Overdue backfill in a round that is cut', () => {
  // Guards against serving tasks that bear backfill although other minions tolerate it.
  it('starts nowhere else while a minion tolerates it', () => {
    for (let calls = 0; calls <= MOST_CALLS; calls += 1) {
      const sample = new SampleFleet(2);
      const {estimator, fleet} = sample;
      const [serving, tolerant] = [...fleet.minions.values()];
      assert.ok(serving && tolerant);
      for (let job = 0; job < JOBS; job += 1) {
        sample.addReadyJob('proofs', shape({fillsSpareCpu: true}), 0);
      }
      fleet.freeRoom.observe(fleet, at(0));
      let called = 0;
      planStarts(fleet, {
        advice: {isPermitted: () => undefined},
        estimator,
        isTimeUp: () => {
          called += 1;
          return called > calls;
        },
        now: at(OVERDUE_MS),
        sharingCosts: {
          ...NO_SHARING_COSTS,
          backfillCost: (minion) => (minion === tolerant ? 0 : undefined),
          overdueCost: (minion) => (minion === tolerant ? 1 : 0),
          toleratedCost: (minion) => (minion === tolerant ? 0 : undefined),
        },
        wall: wallAt(OVERDUE_MS),
      });
      assert.equal(serving.runs.size, 0, `time is up after ${calls} calls`);
    }
  });
});
