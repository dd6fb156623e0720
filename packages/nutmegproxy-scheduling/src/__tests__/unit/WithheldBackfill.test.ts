/** Backfill that would disturb serving tasks is not withheld for ever beside free room. */

import type {Run, StepShape} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SharingCosts} from '../../Placement.ts';

import {at, NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';

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

/** Time for which nothing of a job runs until callers count it as lost, as the users specify. */
const LOST_MS = 3_000;
const RUN_MS = 1_000;

interface BackfillStarts {
  readonly change?: Partial<StepShape>;
  readonly playMs?: number;
  readonly servingCpuMilli: number;
}

/** Returns when tasks of a backfill step of three start beside serving tasks of the given size; each runs for 1 s. */
function playBackfill({
  change = {},
  playMs = FINISH_MS,
  servingCpuMilli,
}: BackfillStarts): number[] {
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
  const ends = new Map<number, Run[]>();
  for (let nowMs = 0; nowMs <= playMs; nowMs += ROUND_MS) {
    for (const run of ends.get(nowMs) ?? []) {
      sample.fleet.finishRun(run, 'done', undefined, at(nowMs));
    }
    const runs = sample.plan(nowMs, OVERLOADED);
    ends.set(nowMs + RUN_MS, [...runs]);
    starts.push(...runs.map(() => nowMs));
  }
  return starts;
}

describe('Backfill beside serving tasks that stay over their targets', () => {
  it('starts before it is lost, where most of the room is free', () => {
    const [startedAt = Infinity] = playBackfill({servingCpuMilli: 1_000});
    assert.ok(startedAt < FINISH_MS, `${startedAt}`);
  });

  it('starts with one task of a step, and not before it has waited for others', () => {
    const starts = playBackfill({servingCpuMilli: 1_000});
    assert.equal(starts.length, 1);
    assert.ok(starts.every((startedAt) => startedAt >= MIN_WAIT_MS));
  });

  it('does not disturb them where half of the room is in use', () => {
    assert.deepEqual(playBackfill({servingCpuMilli: 2_000}), []);
  });

  it('is not without a run until it is lost between its tasks either', () => {
    const starts = playBackfill({playMs: 4 * FINISH_MS, servingCpuMilli: 1_000});
    const idleMs = starts
      .slice(1)
      .map((startedAt, index) => startedAt - (starts[index] ?? 0) - RUN_MS);
    assert.equal(starts.length, 3);
    assert.ok(Math.max(...idleMs) < LOST_MS, `nothing ran for ${idleMs.join()} ms`);
  });
});
