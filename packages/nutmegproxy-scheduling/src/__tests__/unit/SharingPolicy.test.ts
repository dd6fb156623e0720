import type {Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

/** Tail latency of an idle serving task, and the target of all, in milliseconds. */
const IDLE_MS = 10;
const TARGET_MS = 50;
/** Load of a serving task, as a share of what it can serve. */
const LOAD = 0.45;
/** Amplitude of the load's oscillation as a share of its mean, and its period in milliseconds. */
const AMPLITUDE = 0.5;
const PERIOD_MS = 14_000;

/** A fleet in which one backfill image interferes with serving tasks and another does not. */
class SharingScenario {
  readonly sample = new SampleFleet(0);
  readonly policy = new SharingPolicy(this.sample.estimator, DEFAULT_PLATFORM_BOUNDS);
  #now = 0;

  get seconds(): number {
    return this.#now / 1000;
  }

  /** Adds a minion that runs one serving task. */
  addServing(name: string, image: string): MinionState {
    const minion = this.sample.addMinion(name);
    const serving = shape({
      image,
      longRunning: true,
      resources: {cpuMilli: 1000, gpus: 0, memoryMb: 100},
      tailTargetMs: TARGET_MS,
    });
    const step = this.sample.addJob('proofs', [serving]).occurrence(0)?.[0];
    assert.ok(step);
    this.confirm(this.sample.fleet.startRun(step, 0, minion, at(this.#now)));
    return minion;
  }

  addBackfillStep(image: string): Run['step'] {
    const backfill = shape({checkpoints: true, estimateMs: 2000, fillsSpareCpu: true, image});
    const step = this.sample.addJob('proofs', [backfill]).occurrence(0)?.[0];
    assert.ok(step);
    return step;
  }

  confirm(run: Run): Run {
    run.phase = 'running';
    run.confirmedAt = at(this.#now);
    run.percent = run.step.shape.longRunning ? 100 : 10;
    run.reading = run.step.shape.longRunning ? undefined : 1000;
    return run;
  }

  /** Observes a minion once a second; its backfill tasks exert the given total pressure. */
  observe(minion: MinionState, times: number, pressure: number): void {
    for (let time = 0; time < times; time += 1) {
      this.#now += 1000;
      this.#observeOnce(minion, LOAD * (1 + pressure));
    }
  }

  /**
   * Observes minions once a second for a time. The loads of their serving tasks oscillate with the
   * given phases.
   */
  observeWaves(phases: ReadonlyMap<MinionState, number>, seconds: number): void {
    for (let time = 0; time < seconds; time += 1) {
      this.#now += 1000;
      for (const [minion, phase] of phases) {
        const angle = (2 * Math.PI * this.#now) / PERIOD_MS + phase;
        this.#observeOnce(minion, LOAD * (1 + AMPLITUDE * Math.sin(angle)));
      }
    }
  }

  #observeOnce(minion: MinionState, utilization: number): void {
    this.#read(minion, utilization);
    this.policy.model.observe(minion, at(this.#now));
    this.policy.evictInterferingRuns(this.sample.fleet, minion, at(this.#now));
  }

  #read(minion: MinionState, utilization: number): void {
    for (const run of minion.runs) {
      if (run.step.shape.longRunning) {
        run.reading = IDLE_MS / (1 - Math.min(0.98, utilization));
      }
    }
  }

  /** A report that the model does not learn from. */
  #report(minion: MinionState, utilization: number): void {
    this.#read(minion, utilization);
    this.policy.evictInterferingRuns(this.sample.fleet, minion, at(this.#now));
  }

  /** Runs a backfill image on the minion of a serving task until its pressure is known. */
  learnPressure(serving: MinionState, image: string, pressure: number): void {
    this.observe(serving, 10, 0);
    const run = this.confirm(
      this.sample.fleet.startRun(this.addBackfillStep(image), 0, serving, at(this.#now)),
    );
    this.observe(serving, 10, pressure);
    this.sample.fleet.finishRun(run, 'done', undefined, at(this.#now));
    this.sample.fleet.pendingStops.length = 0;
    this.#report(serving, LOAD);
  }

  cost(minion: MinionState, step: Run['step'], waitedMs = 0): number | undefined {
    step.readyAt = at(this.#now - waitedMs);
    return this.policy.backfillCost(minion, step, at(this.#now));
  }
}

describe('SharingPolicy', () => {
  it('places backfill tasks on minions with serving tasks that they do not interfere with', () => {
    const sharing = new SharingScenario();
    const minion = sharing.addServing('m1', 'shop');
    sharing.learnPressure(minion, 'quiet', 0.02);
    assert.notEqual(sharing.cost(minion, sharing.addBackfillStep('quiet')), undefined);
  });

  it('keeps a backfill image only from the serving images that it interferes with', () => {
    const sharing = new SharingScenario();
    const sensitive = sharing.addServing('m1', 'shop');
    const robust = sharing.addServing('m2', 'mail');
    sharing.learnPressure(sensitive, 'noisy', 1);
    sharing.learnPressure(robust, 'noisy', 0.02);
    assert.equal(sharing.cost(sensitive, sharing.addBackfillStep('noisy')), undefined);
    assert.notEqual(sharing.cost(robust, sharing.addBackfillStep('noisy')), undefined);
    assert.notEqual(sharing.cost(sensitive, sharing.addBackfillStep('quiet')), undefined);
  });

  it('places an interfering task where the load is about to fall, not to rise', () => {
    const sharing = new SharingScenario();
    sharing.learnPressure(sharing.addServing('m0', 'shop'), 'noisy', 0.35);
    const rising = sharing.addServing('m1', 'shop');
    const falling = sharing.addServing('m2', 'shop');
    // Both loads are at their mean now, so the reported tail latencies are equal.
    const phases = new Map([
      [rising, 0],
      [falling, Math.PI],
    ]);
    sharing.observeWaves(phases, 84 - sharing.seconds);
    assert.equal(rising.runs.values().next().value?.reading?.toFixed(1), '18.2');
    assert.equal(falling.runs.values().next().value?.reading?.toFixed(1), '18.2');
    const step = sharing.addBackfillStep('noisy');
    assert.equal(sharing.cost(rising, step), undefined);
    assert.notEqual(sharing.cost(falling, step), undefined);
  });

  it('places a step that interferes on every minion after a wait', () => {
    const sharing = new SharingScenario();
    const sensitive = sharing.addServing('m1', 'shop');
    sharing.learnPressure(sensitive, 'noisy', 1);
    const step = sharing.addBackfillStep('noisy');
    assert.equal(sharing.cost(sensitive, step, 3_000), undefined);
    assert.notEqual(sharing.cost(sensitive, step, 12_000), undefined);
  });

  it('evicts the run that interferes most when a tail latency exceeds its target', () => {
    const sharing = new SharingScenario();
    const minion = sharing.addServing('m1', 'shop');
    sharing.learnPressure(minion, 'noisy', 1);
    sharing.learnPressure(minion, 'quiet', 0.02);
    const {fleet} = sharing.sample;
    const noisy = sharing.confirm(
      fleet.startRun(sharing.addBackfillStep('noisy'), 0, minion, at(0)),
    );
    sharing.confirm(fleet.startRun(sharing.addBackfillStep('quiet'), 0, minion, at(0)));
    sharing.observe(minion, 1, 1);
    assert.deepEqual(
      fleet.pendingStops.map(({reason, task}) => [task.job, reason]),
      [[noisy.task.job, 'interference']],
    );
  });

  it('evicts all backfill runs when a tail latency keeps exceeding its target', () => {
    const sharing = new SharingScenario();
    const minion = sharing.addServing('m1', 'shop');
    const {fleet} = sharing.sample;
    for (const image of ['a', 'b', 'c']) {
      sharing.confirm(fleet.startRun(sharing.addBackfillStep(image), 0, minion, at(0)));
    }
    sharing.observe(minion, 4, 1);
    assert.equal(fleet.pendingStops.length, 3);
  });

  it('transfers the learned model to the next owner', () => {
    const sharing = new SharingScenario();
    sharing.learnPressure(sharing.addServing('m1', 'shop'), 'noisy', 1);
    const next = new SharingScenario();
    next.policy.model.import(sharing.policy.model.export(at(0), wallAt(0)), at(0), wallAt(0));
    const minion = next.addServing('m1', 'shop');
    assert.equal(next.cost(minion, next.addBackfillStep('noisy')), undefined);
  });
});
