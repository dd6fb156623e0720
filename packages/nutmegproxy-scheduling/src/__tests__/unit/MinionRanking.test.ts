import type {MinionId} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MinionRanking} from '../../MinionRanking.ts';
import {computePlacementCost} from '../../Placement.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape} from './Samples.ts';

/** Creates a fleet of minions with the given cores, and a step with `count` tasks. */
function createCase(cores: readonly number[], count: number): [SampleFleet, StepState] {
  const sample = new SampleFleet(0);
  for (const [index, each] of cores.entries()) {
    const capacity = {cpuMilli: each * 1000, gpus: 0, memoryMb: 8_000};
    sample.addMinion(`m${index}`, {capacity});
  }
  const step = sample.addJob('proofs', [shape({count, maxPerMinion: 3})]).occurrence(0)?.[0];
  assert.ok(step);
  return [sample, step];
}

/** Places a step's tasks; with `isFresh`, a new ranking is created for each of them. */
function placeAll([sample, step]: [SampleFleet, StepState], isFresh: boolean): MinionId[] {
  const minions = [...sample.fleet.minions.values()];
  const rank = (): MinionRanking => new MinionRanking(step, minions, NO_SHARING_COSTS, at(0));
  const kept = rank();
  const placed: MinionId[] = [];
  for (const index of [...step.waiting]) {
    const minion = (isFresh ? rank() : kept).choose(() => true);
    if (minion === undefined) {
      break;
    }
    sample.fleet.startRun(step, index, minion, at(0));
    kept.refresh(minion);
    placed.push(minion.id);
  }
  return placed;
}

describe('MinionRanking', () => {
  it('places tasks as if the minions were ranked again for each task', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({max: 8, min: 1}), {maxLength: 8, minLength: 1}),
        fc.integer({max: 20, min: 1}),
        (cores, count) => {
          const once = placeAll(createCase(cores, count), false);
          assert.deepEqual(once, placeAll(createCase(cores, count), true));
        },
      ),
      {seed: 1},
    );
  });

  it('skips minions that the caller does not allow', () => {
    const [sample, step] = createCase([4, 2], 1);
    const minions = [...sample.fleet.minions.values()];
    const ranking = new MinionRanking(step, minions, NO_SHARING_COSTS, at(0));
    assert.equal(ranking.choose(({id}) => id !== minions[0]?.id)?.id, minions[1]?.id);
  });

  it('has no cost for a minion without free capacity', () => {
    const [sample, step] = createCase([1], 2);
    const [minion] = [...sample.fleet.minions.values()];
    assert.ok(minion);
    sample.fleet.startRun(step, 0, minion, at(0));
    assert.equal(computePlacementCost(step, minion, NO_SHARING_COSTS, at(0)), undefined);
  });
});
