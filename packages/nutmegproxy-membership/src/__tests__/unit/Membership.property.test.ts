import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ACTION_KINDS, healFaults, runChaos} from '../fakes/Chaos.ts';

const SEED = Number(process.env.MEMBERSHIP_SEED ?? 20_261_203);
const RUNS = Number(process.env.MEMBERSHIP_RUNS ?? 60);
const MAX_ACTIONS = 80;

const ACTION = fc.record({
  a: fc.nat(63),
  b: fc.nat(63),
  kind: fc.constantFrom(...ACTION_KINDS),
});

describe('membership under random faults', () => {
  it('never has two owners of a cell or more requests than slots on a minion', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({max: 4, min: 2}),
        fc.array(ACTION, {maxLength: MAX_ACTIONS, minLength: 30, size: 'max'}),
        async (members, actions) => {
          await runChaos(members, actions);
        },
      ),
      {endOnFailure: false, numRuns: RUNS, seed: SEED},
    );
  });

  it('assigns an owner to every cell after the faults have ended', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({max: 4, min: 2}),
        fc.array(ACTION, {maxLength: MAX_ACTIONS / 2, minLength: 10, size: 'max'}),
        async (members, actions) => {
          const cluster = await runChaos(members, actions);
          cluster.add('last');
          await healFaults(cluster);
          // A member whose electors are mostly dead is removed only after the outage limit.
          await cluster.run(140);
          for (const cell of cluster.cells) {
            const owners = cluster.processes.filter((each) => each.isAlive && each.ownsCell(cell));
            assert.equal(owners.length, 1, `${cell} has ${owners.length} owners`);
          }
        },
      ),
      {endOnFailure: false, numRuns: RUNS / 3, seed: SEED},
    );
  });
});
