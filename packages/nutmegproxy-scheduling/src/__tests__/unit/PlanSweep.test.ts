import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {PlanSweep} from '../../PlanSweep.ts';
import {planStarts} from '../../StartPlanner.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape, wallAt} from './Samples.ts';

/** More processors than any minion has. */
const TOO_LARGE = {cpuMilli: 64_000, gpus: 0, memoryMb: 100};

describe('planStarts with a limited time for placement', () => {
  let sample: SampleFleet;
  let sweep: PlanSweep;

  beforeEach(() => {
    sample = new SampleFleet(10, [queue('proofs')]);
    sweep = new PlanSweep();
  });

  /** Plays a round in which the time is up after `checks` checks of it. */
  function plan(nowMs: number, checks: number, deferrableStarts = Infinity): number {
    let left = checks;
    return planStarts(sample.fleet, {
      advice: {isPermitted: () => undefined},
      deferrableStarts,
      estimator: sample.estimator,
      isTimeUp: () => {
        left -= 1;
        return left < 0;
      },
      now: at(nowMs),
      sharingCosts: NO_SHARING_COSTS,
      sweep,
      wall: wallAt(nowMs),
    }).length;
  }

  describe('a round that is cut', () => {
    it('starts at least one task, and the next rounds the others', () => {
      sample.addJob('proofs', [shape({count: 20})]);
      let starts = 0;
      for (let round = 0; round < 20; round += 1) {
        const started = plan(round, 0);
        assert.ok(started >= 1, `round ${round} started nothing`);
        starts += started;
      }
      assert.equal(starts, 20);
    });

    it('leaves the pass open until a round has reached the last step', () => {
      sample.addJob('proofs', [shape({count: 2})]);
      sample.addJob('proofs', [shape({count: 2})]);
      plan(0, 0);
      assert.equal(sweep.isOpen, true);
      plan(1, Infinity);
      assert.equal(sweep.isOpen, false);
    });

    it('places first what became urgent meanwhile', () => {
      sample = new SampleFleet(10, [
        queue('proofs', {priority: 1}),
        queue('alerts', {priority: 0}),
      ]);
      sample.addJob('proofs', [shape({count: 20})]);
      plan(0, 2);
      const urgent = sample.addJob('alerts', [shape({count: 1})]);
      plan(1, 2);
      assert.equal(urgent.occurrence(0)?.[0]?.liveRuns, 1);
    });
  });

  describe('steps that find no minion', () => {
    it('do not use up the time of each round before the others', () => {
      for (let job = 0; job < 5; job += 1) {
        sample.addJob('proofs', [shape({resources: TOO_LARGE})]);
      }
      const last = sample.addJob('proofs', [shape({count: 1, estimateMs: 100_000})]);
      for (let round = 0; round < 6; round += 1) {
        plan(round, 0);
      }
      assert.equal(last.occurrence(0)?.[0]?.liveRuns, 1);
    });

    it('do not keep the room of long-running jobs from others while the pass lasts', () => {
      const half = {cpuMilli: 2_000, gpus: 0, memoryMb: 100};
      sample.addJob('proofs', [shape({count: 10, maxPerMinion: 1, resources: half})]);
      plan(0, Infinity);
      const resources = {cpuMilli: 3_000, gpus: 0, memoryMb: 100};
      const unfit = shape({longRunning: true, resources});
      const jobs = Array.from({length: 20}, () => sample.addJob('proofs', [unfit]));
      const last = sample.addJob('proofs', [shape({longRunning: true})], 1);
      for (let round = 1; round <= jobs.length + 2; round += 1) {
        plan(round, 0);
      }
      assert.equal(last.occurrence(0)?.[0]?.liveRuns, 1);
    });

    it('are tried again after the pass', () => {
      const blocked = sample.addJob('proofs', [shape({resources: TOO_LARGE})]);
      sample.addJob('proofs', [shape({estimateMs: 100_000})]);
      plan(0, 0);
      plan(1, Infinity);
      sample.addMinion('large', {capacity: {cpuMilli: 64_000, gpus: 0, memoryMb: 8000}});
      plan(2, Infinity);
      assert.equal(blocked.occurrence(0)?.[0]?.liveRuns, 1);
    });
  });

  describe('deferrable steps that find no minion and are idle for long', () => {
    const JOBS = 20;
    const IDLE_MS = 2_000;

    /** Returns in how many rounds something of the last job starts, after jobs of which nothing can. */
    function countRounds(deferrableStarts: number, lastAcceptedAtMs: number): number {
      sample = new SampleFleet(10, [queue('digests', {priority: 2})]);
      for (let job = 0; job < JOBS; job += 1) {
        sample.addJob('digests', [shape({resources: TOO_LARGE})]);
      }
      plan(0, Infinity, 0);
      const last = sample.addJob('digests', [shape({estimateMs: 100_000})], lastAcceptedAtMs);
      plan(lastAcceptedAtMs, Infinity, 0);
      for (let round = 1; round <= 10 * JOBS; round += 1) {
        plan(IDLE_MS + 100 + round, 0, deferrableStarts);
        if (last.hasLiveRuns) {
          return round;
        }
      }
      return Infinity;
    }

    for (const {acceptedAtMs, deferrableStarts, name} of [
      {acceptedAtMs: 100, deferrableStarts: 0, name: 'another idle job, with no start left'},
      {acceptedAtMs: 100, deferrableStarts: 1, name: 'another idle job'},
      {acceptedAtMs: 2_000, deferrableStarts: 1, name: 'a job that has just come'},
    ]) {
      it(`do not use up the time of each round before ${name}`, () => {
        const rounds = countRounds(deferrableStarts, acceptedAtMs);
        assert.ok(rounds <= JOBS + 1, `${rounds} rounds`);
      });
    }
  });

  describe('a round that is cut within its last step', () => {
    it('leaves the pass open, so that another round follows at once', () => {
      sample.addJob('proofs', [shape({count: 20})]);
      assert.equal(plan(0, 0), 1);
      assert.equal(sweep.isOpen, true);
    });
  });

  describe('steps that have failed the trial of a minion', () => {
    it('get a minion on trial though each pass takes several rounds', () => {
      sample = new SampleFleet(1);
      for (const {trust} of sample.fleet.minions.values()) {
        trust.recordStall(at(0));
      }
      const failed = sample.addJob('proofs', [shape({})]).occurrence(0)?.[0];
      assert.ok(failed);
      failed.hasFailedTrial = true;
      sample.addJob('proofs', [shape({resources: TOO_LARGE})]);
      sample.addJob('proofs', [shape({resources: TOO_LARGE})]);
      for (let round = 0; round < 12; round += 1) {
        plan(100_000 + round, 0);
      }
      assert.equal(failed.liveRuns, 1);
    });
  });

  describe('an urgent step that finds no minion at the begin of a pass', () => {
    it('gets the first room that becomes free, before less urgent work', () => {
      sample = new SampleFleet(1, [queue('proofs', {priority: 1}), queue('alerts', {priority: 0})]);
      const jobs = [1, 2].map(() => sample.addJob('proofs', [shape({count: 20})]));
      const runs = sample.plan(0);
      const urgent = sample.addJob('alerts', [shape({count: 1})]);
      plan(1, 0);
      assert.equal(urgent.occurrence(0)?.[0]?.liveRuns, 0);
      const [first] = runs;
      assert.ok(first);
      sample.fleet.finishRun(first, 'done', undefined, at(2));
      plan(3, 0);
      assert.equal(jobs.length, 2);
      assert.equal(urgent.occurrence(0)?.[0]?.liveRuns, 1);
    });
  });

  describe('interrupted tasks of long-running jobs', () => {
    it('start in a round that is cut before their step', () => {
      sample.addJob('proofs', [shape({count: 20})]);
      const lasting = sample.addJob('proofs', [shape({longRunning: true})]);
      const step = lasting.occurrence(0)?.[0];
      assert.ok(step);
      const [run] = sample.plan(0).filter((each) => each.step === step);
      assert.ok(run);
      sample.fleet.finishRun(run, 'failed', undefined, at(1));
      sample.addJob('proofs', [shape({count: 20})]);
      plan(10_000, 0);
      assert.equal(step.liveRuns, 1);
    });
  });
});
