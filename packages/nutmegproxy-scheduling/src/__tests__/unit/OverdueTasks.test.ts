/** What is overdue beside free room passes the rules of preference, and nothing else does. */

import type {StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {failTwice} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

/** Time after which a task counts as overdue beside free room. */
const OVERDUE_MS = 13_500;
const ROUND_MS = 100;

/** Lets all minions fail again as soon as they are on trial, so that none is ever trusted. */
function keepUntrusted(sample: SampleFleet, nowMs: number): void {
  for (const minion of sample.fleet.minions.values()) {
    if (minion.trust.level(at(nowMs)) !== 'quarantined') {
      failTwice(minion, nowMs);
    }
  }
}

/** Returns when each task of the step starts first, by its index, in milliseconds. */
function playStarts(sample: SampleFleet, step: StepState, untilMs: number): Map<number, number> {
  const starts = new Map<number, number>();
  for (let nowMs = 0; nowMs <= untilMs; nowMs += ROUND_MS) {
    keepUntrusted(sample, nowMs);
    for (const run of sample.plan(nowMs).filter((each) => each.step === step)) {
      starts.set(run.task.index, nowMs);
    }
  }
  return starts;
}

describe('A lasting step of which a task is overdue', () => {
  // Guards against tasks that pass trust as another one of their step has waited.
  it('starts no other task that has failed since', () => {
    const sample = new SampleFleet(2);
    const [step] =
      sample.addJob('proofs', [shape({count: 3, longRunning: true})]).occurrence(0) ?? [];
    assert.ok(step);
    step.failedAt.set(1, at(6_000));
    step.failedAt.set(2, at(9_000));
    const starts = playStarts(sample, step, 30_000);
    assert.deepEqual(
      [0, 1, 2].map((index) => starts.get(index)),
      [OVERDUE_MS, 6_000 + OVERDUE_MS, 9_000 + OVERDUE_MS],
    );
  });
});
