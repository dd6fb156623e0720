import type {StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {at, NO_SHARING_COSTS, SampleFleet, shape} from './Samples.ts';

const WHOLE_MINION = {cpuMilli: 4000, gpus: 0, memoryMb: 100};
/** Time in milliseconds for which a step that found no minion is in backoff. */
const BACKOFF_MS = 150;

describe('backfill steps that found no minion', () => {
  const fillingShape = shape({fillsSpareCpu: true, resources: WHOLE_MINION});
  let sample: SampleFleet;

  beforeEach(() => {
    sample = new SampleFleet(1);
  });

  describe('when a minion becomes free', () => {
    for (const smallAtMs of [1, 50, 100, 149]) {
      it(`are placed in their order, also where the first one's backoff began ${smallAtMs} ms later`, () => {
        const running = sample.addJob('proofs', [fillingShape]);
        sample.plan(0);
        const large = sample.addJob('proofs', [{...fillingShape, count: 10}]);
        sample.plan(1);
        const small = sample.addJob('proofs', [fillingShape]);
        sample.plan(1 + smallAtMs);
        sample.finishRuns(running, at(BACKOFF_MS));
        assert.deepEqual(
          sample.plan(1 + BACKOFF_MS).map(({task}) => task.job),
          [small.id],
        );
        assert.equal(large.hasLiveRuns, false);
      });
    }
  });

  describe('in a long backlog', () => {
    const BACKLOG = 200;
    /** Most steps that a round tries although they are in backoff. */
    const MAX_TRIED = 10;

    it('are tried by few in each round until their backoff ends, also where runs end', () => {
      const running = [1, 2, 3].map(() => sample.addJob('proofs', [shape()]));
      sample.plan(0);
      for (let job = 0; job < BACKLOG; job += 1) {
        sample.addJob('proofs', [shape({fillsSpareCpu: true})]);
      }
      const tried = new Set<StepState>();
      const plan = (nowMs: number): number => {
        tried.clear();
        sample.plan(nowMs, {
          ...NO_SHARING_COSTS,
          backfillCost: (_minion, step) => {
            tried.add(step);
            return undefined;
          },
        });
        return tried.size;
      };
      assert.equal(plan(0), BACKLOG);
      for (const [index, nowMs] of [1, 75, BACKOFF_MS - 1].entries()) {
        sample.finishRuns(running[index] ?? assert.fail(), at(nowMs));
        const count = plan(nowMs);
        assert.ok(count <= MAX_TRIED, `${count} steps tried after ${nowMs} ms`);
      }
      assert.equal(plan(BACKOFF_MS + BACKOFF_MS), BACKLOG);
    });
  });
});
