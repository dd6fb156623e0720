/** Backfill that would disturb serving tasks is not withheld for ever beside free room. */

import type {StepShape} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SharingCosts} from '../../Placement.ts';

import {NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';

/** Time after which callers count work as lost that waits beside free room, as the users specify. */
const FINISH_MS = 14_000;
/** Time for which backfill waits for minions whose serving tasks tolerate it. */
const MIN_WAIT_MS = 13_000;
const ROUND_MS = 100;
/** All serving tasks are over their targets. */
const OVERLOADED: SharingCosts = {
  ...NO_SHARING_COSTS,
  backfillCost: ({servingRuns}) => (servingRuns > 0 ? undefined : 0),
};

/** Returns when tasks of a backfill step of three start beside serving tasks of the given size. */
function playBackfill(servingCpuMilli: number, change: Partial<StepShape> = {}): number[] {
  const sample = new SampleFleet(2, [queue('proofs')]);
  const resources = {cpuMilli: servingCpuMilli, gpus: 0, memoryMb: 1};
  sample.addJob('proofs', [shape({count: 2, longRunning: true, maxPerMinion: 1, resources})]);
  assert.equal(sample.plan(0, OVERLOADED).length, 2);
  for (const minion of sample.fleet.minions.values()) {
    for (const run of minion.runs) {
      run.phase = 'running';
      run.reading = 1_000;
    }
  }
  sample.addJob('proofs', [shape({count: 3, fillsSpareCpu: true, ...change})]);
  const starts: number[] = [];
  for (let nowMs = 0; nowMs <= FINISH_MS; nowMs += ROUND_MS) {
    starts.push(...sample.plan(nowMs, OVERLOADED).map(() => nowMs));
  }
  return starts;
}

describe('Backfill beside serving tasks that stay over their targets', () => {
  it('starts before it is lost, where most of the room is free', () => {
    const [startedAt = Infinity] = playBackfill(1_000);
    assert.ok(startedAt < FINISH_MS, `${startedAt}`);
  });

  it('starts with one task of a step, and not before it has waited for others', () => {
    const starts = playBackfill(1_000);
    assert.equal(starts.length, 1);
    assert.ok(starts.every((startedAt) => startedAt >= MIN_WAIT_MS));
  });

  it('does not disturb them where half of the room is in use', () => {
    assert.deepEqual(playBackfill(2_000), []);
  });
});
