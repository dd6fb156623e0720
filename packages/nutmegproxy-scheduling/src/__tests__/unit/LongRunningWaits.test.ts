/** Long-running jobs that wait for the limit: no kind of them waits without a bound beside others that come and go. */

import type {JobState, StepShape} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {PlanSweep} from '../../PlanSweep.ts';
import {planStarts} from '../../StartPlanner.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, NO_SHARING_COSTS, SampleFleet, shape, wallAt} from './Samples.ts';

const ROUND_MS = 100;
/** Time after which a task counts as overdue beside free room. */
const OVERDUE_MS = 13_500;
const UNTIL_MS = 60_000;

function lasting(count: number, change: Partial<StepShape> = {}): StepShape {
  return shape({count, longRunning: true, ...change});
}

function ofCores(cpuMilli: number): Pick<StepShape, 'resources'> {
  return {resources: {cpuMilli, gpus: 0, memoryMb: 100}};
}

function end(sample: SampleFleet, job: JobState, nowMs: number): void {
  sample.finishRuns(job, at(nowMs));
  sample.fleet.jobs.delete(job.id);
}

/** Plans until the job has a run; returns when that was. */
function findFirstStart(
  sample: SampleFleet,
  job: JobState,
  before?: (nowMs: number) => void,
): number {
  for (let nowMs = ROUND_MS; nowMs <= UNTIL_MS; nowMs += ROUND_MS) {
    before?.(nowMs);
    sample.plan(nowMs);
    if (job.hasLiveRuns) {
      return nowMs;
    }
  }
  return Infinity;
}

describe('A wide long-running job beside narrow ones of one task that come and go', () => {
  const LIFE_MS = 15_000;
  const SETTLED_MS = 30_000;
  const END_MS = 120_000;

  interface NarrowJob {
    readonly endsAtMs: number;
    readonly job: JobState;
    rounds: number;
    served: number;
  }

  /** Returns the mean share at work of a wide job and of narrow ones that ask for so many cores of 34. */
  function playStream(step: StepShape, askedCores: number): {narrow: number; wide: number} {
    const sample = new SampleFleet(10);
    const eachMs = Math.round(LIFE_MS / askedCores / ROUND_MS) * ROUND_MS;
    const live: NarrowJob[] = [];
    const add = (dueMs: number, endsAtMs: number): void => {
      live.push({
        endsAtMs,
        job: sample.addJob('proofs', [lasting(1)], dueMs),
        rounds: 0,
        served: 0,
      });
    };
    for (let number = 1; number <= askedCores; number += 1) {
      add(-1, number * eachMs);
    }
    sample.plan(0);
    const wide = sample.addJob('proofs', [step], 1);
    let rounds = 0;
    let served = 0;
    for (let nowMs = ROUND_MS; nowMs <= END_MS; nowMs += ROUND_MS) {
      if (nowMs % eachMs === 0) {
        add(nowMs, nowMs + askedCores * eachMs);
      }
      for (const {job} of live.filter(({endsAtMs}) => endsAtMs === nowMs)) {
        end(sample, job, nowMs);
      }
      sample.plan(nowMs);
      if (nowMs > SETTLED_MS) {
        rounds += 1;
        served += wide.liveRuns.size / step.count;
        for (const each of live.filter(({endsAtMs}) => endsAtMs > nowMs)) {
          each.rounds += 1;
          each.served += each.job.liveRuns.size;
        }
      }
    }
    const sum = (of: 'rounds' | 'served'): number =>
      live.reduce((total, each) => total + each[of], 0);
    return {narrow: sum('served') / sum('rounds'), wide: served / rounds};
  }

  // Guards against narrow jobs that come later and each take what ebbs, as none of their tasks is at work.
  for (const askedCores of [30, 40, 60]) {
    for (const cpuMilli of [1_000, 2_000]) {
      it(`has half their share at work at least, with tasks of ${cpuMilli} and ${askedCores} cores asked by them`, () => {
        const {narrow, wide} = playStream(lasting(12, ofCores(cpuMilli)), askedCores);
        assert.ok(wide >= narrow / 2, `wide ${wide}, narrow ${narrow}`);
      });
    }
  }

  // Guards against a gang that lasts and never starts, as others take what ebbs bit by bit.
  it('starts although it is a gang', () => {
    const {narrow, wide} = playStream(lasting(4, {...ofCores(2_000), gang: true}), 40);
    assert.ok(wide >= narrow / 2, `gang ${wide}, narrow ${narrow}`);
  });
});

describe('A small long-running job beside free room, under half of which is in use', () => {
  for (const {cpuMilli, inUse, minions} of [
    {cpuMilli: 3_000, inUse: 1, minions: 1},
    {cpuMilli: 3_900, inUse: 3, minions: 2},
  ]) {
    // Guards against a step that holds the room for good, as its tasks never fit below the limit.
    it(`starts within ${OVERDUE_MS} ms on ${minions} minions although a larger one never fits below the limit`, () => {
      const sample = new SampleFleet(minions);
      sample.addJob('proofs', [lasting(inUse)], -30_000);
      sample.plan(0);
      sample.addJob('proofs', [lasting(2, ofCores(cpuMilli))], -1);
      const small = sample.addJob('proofs', [lasting(1)], 1);
      const first = findFirstStart(sample, small);
      assert.ok(first <= OVERDUE_MS + ROUND_MS, `started at ${first}`);
    });
  }

  // Guards against an overdue task that waits for the limit of the few trusted minions.
  it('starts when it is overdue on minions that are not trusted, although the trusted one is full', () => {
    const sample = new SampleFleet(1);
    sample.addJob('proofs', [lasting(3)], -30_000);
    sample.plan(0);
    const untrusted = [2, 3, 4, 5].map((number) => sample.addMinion(`m${number}`));
    const job = sample.addJob('proofs', [lasting(2)], 1);
    const first = findFirstStart(sample, job, (nowMs) => {
      for (const minion of untrusted) {
        if (minion.trust.level(at(nowMs)) !== 'quarantined') {
          failTwice(minion, nowMs);
        }
      }
    });
    assert.ok(first <= OVERDUE_MS + ROUND_MS, `started at ${first}`);
  });
});

describe('A long-running job that waits for the limit while rounds are cut', () => {
  for (const wasBlocked of [false, true]) {
    // Guards against a hold that a round gives up because of a minion that was lacking long before.
    it(`keeps what ebbs from later ones${wasBlocked ? ', although it once found no minion' : ''}`, () => {
      const sample = new SampleFleet(10);
      const [ended] = Array.from({length: 34}, () => sample.addJob('proofs', [lasting(1)], -10));
      sample.plan(0);
      const large = sample.addJob('proofs', [lasting(2, ofCores(2_000))], 1);
      const later = Array.from({length: 3}, () => sample.addJob('proofs', [lasting(1)], 2));
      const [step] = large.occurrence(0) ?? [];
      assert.ok(ended && step);
      step.blockedAt = wasBlocked ? at(0) : undefined;
      for (let number = 0; number < 30; number += 1) {
        sample.addJob('proofs', [shape({estimateMs: 1, ...ofCores(64_000)})], 2);
      }
      const sweep = new PlanSweep();
      for (let round = 1; round <= 60; round += 1) {
        if (round === 30) {
          end(sample, ended, round);
        }
        planStarts(sample.fleet, {
          advice: {isPermitted: () => undefined},
          estimator: sample.estimator,
          isTimeUp: () => true,
          now: at(round),
          sharingCosts: NO_SHARING_COSTS,
          sweep,
          wall: wallAt(round),
        });
      }
      assert.equal(later.filter(({hasLiveRuns}) => hasLiveRuns).length, 0);
    });
  }
});
