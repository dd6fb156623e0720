/** What is overdue beside free room passes the rules of preference, and nothing else does. */

import type {StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {orderByLastStart} from '../../OverdueSteps.ts';
import {PlanSweep} from '../../PlanSweep.ts';
import {planStarts} from '../../StartPlanner.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape, wallAt} from './Samples.ts';

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
function playStarts(
  sample: SampleFleet,
  step: StepState,
  untilMs: number,
  fromMs = 0,
): Map<number, number> {
  const starts = new Map<number, number>();
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += ROUND_MS) {
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

describe('A step that has waited for room for long', () => {
  /** Time beside free room after which work that waits counts as lost, as the users specify. */
  const LOST_MS = 3_000;
  const FREE_AT_MS = 20_000;

  // Guards against a crowd of work that passes trust at once when a full service gets room.
  it('waits for a better minion once there is room, and not until it is lost', () => {
    const sample = new SampleFleet(2);
    const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: 1};
    sample.addJob('proofs', [shape({resources})]);
    const [long] = sample.plan(0);
    const [step] = sample.addJob('proofs', [shape()]).occurrence(0) ?? [];
    assert.ok(long && step);
    assert.equal(playStarts(sample, step, FREE_AT_MS - ROUND_MS).size, 0);
    sample.fleet.finishRun(long, 'stopped', undefined, at(FREE_AT_MS));
    const startedAt = playStarts(sample, step, FREE_AT_MS + LOST_MS, FREE_AT_MS).get(0) ?? Infinity;
    assert.ok(startedAt >= FREE_AT_MS + LOST_MS / 2, `${startedAt}`);
    assert.ok(startedAt < FREE_AT_MS + LOST_MS, `${startedAt}`);
  });
});

describe('Overdue steps of a queue', () => {
  function addSteps(count: number): StepState[] {
    const sample = new SampleFleet(1);
    return Array.from({length: count}, () => {
      const [step] = sample.addJob('proofs', [shape({fillsSpareCpu: true})]).occurrence(0) ?? [];
      assert.ok(step);
      return step;
    });
  }

  it('keep their order while none has started, as after a takeover', () => {
    const steps = addSteps(3);
    assert.deepEqual(orderByLastStart(steps, new Set(steps)), steps);
  });

  it('come in the order of their last starts, after those without one', () => {
    const [late, none, early] = addSteps(3) as [StepState, StepState, StepState];
    late.placedAt = at(200);
    early.placedAt = at(100);
    const steps = [late, none, early];
    assert.deepEqual(orderByLastStart(steps, new Set(steps)), [none, early, late]);
  });
});

describe('Overdue backfill that serving tasks tolerate nowhere', () => {
  const JOBS = 20;
  const PLACEMENT_MS = 60;
  /** Time that the costs of a step take on all minions, as in a large fleet on a slow machine. */
  const RANKING_MS = 35;

  // Guards against steps that count as tried before they were placed where serving tasks have to bear them.
  it('starts in the round that tries it, also where its time is up meanwhile', () => {
    const sample = new SampleFleet(JOBS);
    const {estimator, fleet} = sample;
    const jobs = Array.from({length: JOBS}, () =>
      sample.addReadyJob('proofs', shape({fillsSpareCpu: true}), 0),
    );
    fleet.freeRoom.observe(fleet, at(0));
    const sweep = new PlanSweep();
    let clockMs = OVERDUE_MS;
    for (let round = 0; round < JOBS; round += 1) {
      const tried = new Set<StepState>();
      const computeCost = (step: StepState): void => {
        tried.add(step);
        clockMs += RANKING_MS / JOBS;
      };
      const nowMs = clockMs;
      let sinceMs: number | undefined;
      planStarts(fleet, {
        advice: {isPermitted: () => undefined},
        estimator,
        isTimeUp: (share = 1) => {
          sinceMs ??= clockMs;
          return clockMs - sinceMs >= PLACEMENT_MS * share;
        },
        now: at(nowMs),
        sharingCosts: {
          ...NO_SHARING_COSTS,
          backfillCost: (_, step) => {
            computeCost(step);
            return undefined;
          },
          dependsOnWait: () => false,
          overdueCost: (_, step) => {
            computeCost(step);
            return 0;
          },
        },
        sweep,
        wall: wallAt(nowMs),
      });
      const waiting = [...tried].filter(({job}) => !job.hasLiveRuns);
      assert.equal(waiting.length, 0, `round ${round} tried ${tried.size} steps`);
    }
    assert.ok(jobs.every(({hasLiveRuns}) => hasLiveRuns));
  });
});
