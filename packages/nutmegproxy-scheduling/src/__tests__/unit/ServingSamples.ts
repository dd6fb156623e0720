/** Minions with serving tasks and backfill whose reports are given by the tests. */

import type {EventFields} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {EvictionBounds} from '../../EvictionTimes.ts';
import type {MinionState} from '../../MinionState.ts';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {ServingLatencyLog} from '../../ServingLatencyLog.ts';
import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

const FULL_PERCENT = 100;
export const TARGET_MS = 50;

/**
 * @example
 * const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
 * sample.report(sample.addServingMinion('m1'), 60, 300);
 */
export class ServingSample {
  readonly policy: SharingPolicy;
  readonly #events = new RecordedEvents();
  readonly #log = new ServingLatencyLog();
  readonly #sample = new SampleFleet(0, [queue('proofs')], this.#events);
  readonly #serving = new Map<MinionState, Run>();

  constructor(bounds: EvictionBounds) {
    this.policy = new SharingPolicy(this.#sample.estimator, bounds);
  }

  get fleet(): SampleFleet['fleet'] {
    return this.#sample.fleet;
  }

  /** Fields of the lines so far. */
  get lines(): readonly EventFields[] {
    return this.#events.events
      .filter(({kind}) => kind === SCHEDULING_EVENTS.SERVING_NEAR_TARGET)
      .map(({fields}) => fields);
  }

  /** Starts backfill tasks on a minion, each of a job of its own. */
  addBackfill(minion: MinionState, count: number, now: number, checkpoints = true): Run[] {
    return Array.from({length: count}, () => {
      const job = this.#sample.addJob('proofs', [
        shape({checkpoints, fillsSpareCpu: true, image: 'noisy'}),
      ]);
      const [step] = job.occurrence(0) ?? [];
      if (step === undefined) {
        throw new Error('the job has no step');
      }
      const run = this.#sample.fleet.startRun(step, 0, minion, at(now));
      return Object.assign(run, {
        confirmedAt: at(now),
        phase: 'running' as const,
        reading: run.step.shape.resources.cpuMilli,
      });
    });
  }

  /** Adds a job of backfill that lasts. */
  addLastingBackfill(count: number, disruptionBudget: number | undefined): StepState {
    const job = this.#sample.addJob('proofs', [
      shape({count, disruptionBudget, fillsSpareCpu: true, image: 'noisy', longRunning: true}),
    ]);
    const [step] = job.occurrence(0) ?? [];
    if (step === undefined) {
      throw new Error('the job has no step');
    }
    return step;
  }

  /** Starts a lasting task, which is at work at once. */
  startLasting(step: StepState, index: number, minion: MinionState, now: number): Run {
    const run = this.#sample.fleet.startRun(step, index, minion, at(now));
    const phase = 'running' as const;
    return Object.assign(run, {confirmedAt: at(now), percent: FULL_PERCENT, phase, reading: 1_000});
  }

  /** Adds a minion with a serving task of a job of its own. */
  addServingMinion(name: string): MinionState {
    const minion = this.#sample.addMinion(name);
    const job = this.#sample.addJob('proofs', [
      shape({image: 'shop', longRunning: true, tailTargetMs: TARGET_MS}),
    ]);
    const [step] = job.occurrence(0) ?? [];
    if (step === undefined) {
      throw new Error('the job has no step');
    }
    const run = this.#sample.fleet.startRun(step, 0, minion, at(0));
    Object.assign(run, {confirmedAt: at(0), percent: FULL_PERCENT, phase: 'running'});
    this.#serving.set(minion, run);
    return minion;
  }

  /** A report of a minion with the tail latency of its serving task. */
  report(minion: MinionState, tailMs: number, now: number): void {
    const run = this.#serving.get(minion);
    if (run !== undefined) {
      run.reading = tailMs;
    }
    minion.lastAnswerAt = at(now);
    this.policy.model.observe(minion, at(now));
    this.policy.evictInterferingRuns(this.fleet, minion, at(now));
    this.#log.review(this.fleet, this.policy, at(now));
  }
}
