/** A new owner reads hundreds of jobs of backfill that have waited for long, so that all of them are overdue at once. */

import type {JobState, Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {JobState as Job} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {orderByLastStart} from '../../OverdueSteps.ts';
import {SharingPolicy} from '../../SharingPolicy.ts';
import {planStarts} from '../../StartPlanner.ts';
import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const ROUND_MS = 100;
/** Time in which work beside free room has to run, as the users specify. */
const FINISH_MS = 14_000;
const HELD_MS = 20_000;
const MINIONS = 60;
const JOBS = 300;
const TASKS = 4;
const WORK_MS = 1_000;
const TARGET_MS = 50;
const FULL_PERCENT = 100;
/** Tail latencies beside which serving tasks tolerate backfill, and beside which they tolerate none. */
const TOLERANT_MS = 12;
const INTOLERANT_MS = 40;

/** An owner of minions that serve, with jobs of backfill that it reads. */
class NewOwner {
  readonly #jobs: readonly JobState[];
  readonly #policy: SharingPolicy;
  readonly #sample = new SampleFleet(0, [
    queue('digests', {priority: 1}),
    queue('alerts', {priority: 0}),
  ]);

  constructor(tailMs: number, heldMs: number) {
    this.#policy = new SharingPolicy(this.#sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    this.#addServing(tailMs);
    this.#jobs = Array.from({length: JOBS}, () => this.#readJob(heldMs));
  }

  get idleJobs(): number {
    return this.#jobs.filter(({activeAt}) => activeAt === undefined).length;
  }

  addAlert(count: number): void {
    this.#sample.addJob('alerts', [
      shape({count, resources: {cpuMilli: 100, gpus: 0, memoryMb: 10}}),
    ]);
  }

  plan(nowMs: number, deferrableStarts = Infinity): readonly Run[] {
    const runs = planStarts(this.#sample.fleet, {
      advice: {isPermitted: () => undefined},
      deferrableStarts,
      estimator: this.#sample.estimator,
      now: at(nowMs),
      sharingCosts: this.#policy,
      wall: wallAt(nowMs),
    });
    for (const run of runs) {
      Object.assign(run, {confirmedAt: at(nowMs), phase: 'running'});
    }
    return runs;
  }

  /** Ends the runs of backfill that have worked for long enough. */
  work(nowMs: number): void {
    for (const run of this.#jobs.flatMap(({liveRuns}) => [...liveRuns])) {
      if (nowMs - run.sentAt >= WORK_MS) {
        this.#sample.fleet.finishRun(run, 'done', undefined, at(nowMs));
      }
    }
  }

  #addServing(tailMs: number): void {
    const job = this.#sample.addJob('alerts', [
      shape({count: MINIONS, image: 'shop', longRunning: true, tailTargetMs: TARGET_MS}),
    ]);
    const [step] = job.occurrence(0) ?? [];
    assert.ok(step);
    for (let index = 0; index < MINIONS; index += 1) {
      const minion = this.#sample.addMinion(`m${index}`);
      const run = this.#sample.fleet.startRun(step, index, minion, at(0));
      const confirmed = {confirmedAt: at(0), percent: FULL_PERCENT, phase: 'running'};
      Object.assign(run, {...confirmed, reading: tailMs});
      minion.lastAnswerAt = at(0);
      this.#policy.model.observe(minion, at(0));
      this.#policy.evictInterferingRuns(this.#sample.fleet, minion, at(0));
    }
  }

  #readJob(heldMs: number): JobState {
    const resources = {cpuMilli: 100, gpus: 0, memoryMb: 10};
    const {request} = this.#sample.addJob('digests', [
      shape({count: TASKS, fillsSpareCpu: true, image: 'noisy', resources}),
    ]);
    const job = new Job(request, 1, {queue: request.queue, status: 'running', steps: {}});
    job.heldSince = at(-heldMs);
    this.#sample.fleet.jobs.set(job.id, job);
    return job;
  }
}

function countTurns(runs: readonly Run[]): number {
  return runs.filter(({toleratedSince}) => toleratedSince !== undefined).length;
}

describe('Backfill that is overdue when a new owner reads it', () => {
  describe('beside serving tasks that tolerate it', () => {
    it('starts with as many tasks as backfill that is not overdue', () => {
      const starts = [HELD_MS, 0].map((heldMs) => new NewOwner(TOLERANT_MS, heldMs).plan(0).length);
      assert.equal(starts[0], starts[1]);
      assert.ok((starts[0] ?? 0) > JOBS);
    });
  });

  describe('beside serving tasks that do not tolerate it', () => {
    // Guards against an owner that is busy with the starts and stops of short turns alone.
    it('begins turns at a bounded pace', () => {
      const first = countTurns(new NewOwner(INTOLERANT_MS, HELD_MS).plan(0));
      assert.ok(first > 0 && first < MINIONS / 2, `${first} turns`);
    });

    it('takes no more than half of a limited number of starts', () => {
      for (const limit of [1, 2, 6, 10]) {
        const turns = countTurns(new NewOwner(INTOLERANT_MS, HELD_MS).plan(0, limit));
        assert.ok(turns > 0 && turns <= Math.max(1, limit / 2), `${turns} turns of ${limit}`);
      }
    });

    it('leaves urgent tasks their starts', () => {
      const owner = new NewOwner(INTOLERANT_MS, HELD_MS);
      owner.addAlert(MINIONS);
      const urgent = owner.plan(0, 2).filter(({step}) => !step.shape.fillsSpareCpu);
      assert.equal(urgent.length, MINIONS);
    });

    it('starts a task of each job in time', () => {
      const owner = new NewOwner(INTOLERANT_MS, HELD_MS);
      for (let now = 0; now <= FINISH_MS; now += ROUND_MS) {
        owner.work(now);
        owner.plan(now);
      }
      assert.equal(owner.idleJobs, 0);
    });
  });

  it('starts in the order of its turns', () => {
    const sample = new SampleFleet(0);
    const steps = [10, 20, 30].map((heldMs) => {
      const [step] = sample.addJob('proofs', [shape({fillsSpareCpu: true})]).occurrence(0) ?? [];
      assert.ok(step);
      step.heldSince = at(-heldMs);
      return step;
    });
    assert.deepEqual(orderByLastStart(steps, new Set(steps)), steps.toReversed());
    const alike = steps.map((step) => Object.assign(step, {heldSince: at(0)}));
    assert.deepEqual(orderByLastStart(alike, new Set(alike)), alike);
  });
});
