/** Fleets whose minions crash often by themselves, beside tasks that crash them. */

import type {JobState, Run} from '@nutmegproxy/jobs';

import type {MinionState} from '../../MinionState.ts';

import {findCrashPause} from '../../CrashPauses.ts';
import {crash, play} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const RESOURCES = {cpuMilli: 400, gpus: 0, memoryMb: 10};
/** Time in milliseconds from a crash in a play until its minion is back and the crash is recorded. */
const DOWN_MS = 2_000;
const ROUND_MS = 100;

/** Returns which of the minions crash at an instant. */
export type CrashPattern = (now: number, minions: number, draw: () => number) => readonly number[];

/** Draws so many minions, each once. */
function drawMinions(count: number, minions: number, draw: () => number): readonly number[] {
  const left = Array.from({length: minions}, (_, number) => number);
  return Array.from({length: Math.min(count, minions)}, () => {
    const [drawn] = left.splice(Math.floor(draw() * left.length), 1);
    return drawn ?? 0;
  });
}

export const CRASH_PATTERNS: Readonly<Record<string, CrashPattern>> = {
  'a minion each 500 ms': (now, minions, draw) =>
    now % 500 === 0 ? drawMinions(1, minions, draw) : [],
  'a minion each second or two': (_now, minions, draw) =>
    draw() < ROUND_MS / 1_500 ? drawMinions(1, minions, draw) : [],
  'an eighth of them that flaps': (now, minions) =>
    now % 4_000 === 0 ? Array.from({length: Math.ceil(minions / 8)}, (_, number) => number) : [],
  'a quarter of them each 2.5 seconds': (now, minions, draw) =>
    now % 2_500 === 0 ? drawMinions(Math.ceil(minions / 4), minions, draw) : [],
  'each in its turn': (now, minions) => (now % 800 === 0 ? [(now / 800) % minions] : []),
};

export interface OftenCrashesOptions {
  /** Age in milliseconds at which the runs of deadly jobs crash their minions. */
  readonly deadlyAgeMs?: number;
  readonly deadlyJobs?: number;
  readonly isLasting: boolean;
  readonly minions: number;
  readonly pattern: CrashPattern;
  readonly seed: number;
  /** When minions crash by themselves for the last time, in milliseconds. */
  readonly untilMs: number;
}

export class OftenCrashesPlay {
  readonly deadly = new Set<JobState>();
  /** Harmless tasks that were taken for deadly at some time. */
  readonly misjudged = new Set<string>();
  /** Harmless tasks that were restrained at some time. */
  readonly restrained = new Set<string>();
  /** Longest time in milliseconds from the last crash under a harmless task beside room to its next start. */
  longestWaitMs = 0;
  /** Starts of deadly tasks after they have crashed three minions. */
  readonly lateStarts = new Map<JobState, number>();
  readonly #crashes = new Map<JobState, number>();
  readonly #idleSince = new Map<string, number>();
  readonly #options: OftenCrashesOptions;
  readonly #runs = new Set<Run>();
  readonly #sample: SampleFleet;
  #state: number;

  constructor(options: OftenCrashesOptions) {
    this.#options = options;
    this.#state = options.seed;
    this.#sample = new SampleFleet(options.minions);
    for (let number = 0; number < (options.deadlyJobs ?? 0); number += 1) {
      const job = this.#sample.addJob('proofs', [
        shape({longRunning: number % 2 === 1, resources: RESOURCES}),
      ]);
      this.deadly.add(job);
    }
    if (options.isLasting) {
      for (let number = 0; number < options.minions; number += 1) {
        this.#addJob();
      }
    }
  }

  play(lastMs: number): void {
    const {minions, pattern, untilMs} = this.#options;
    const all = [...this.#sample.fleet.minions.values()];
    play(this.#sample, 0, lastMs, (now) => {
      if (!this.#options.isLasting && now % 500 === 0 && now < untilMs) {
        this.#addJob();
      }
      this.#recordStarts();
      this.#recordWaits(now);
      const isStormy = now >= 2_500 && now < untilMs;
      const hit = new Set(isStormy ? pattern(now, minions, () => this.#draw()) : []);
      const due = all.filter(
        (minion, number) =>
          minion.missedCalls === 0 && (this.#endRuns(minion, now) || hit.has(number)),
      );
      for (const {step, task} of due.flatMap(({runs}) => [...runs])) {
        this.#idleSince.set(`${step.job.id}.${task.index}`, now + DOWN_MS);
      }
      crash(this.#sample, due, now);
    });
  }

  #addJob(): void {
    const {isLasting} = this.#options;
    this.#sample.addJob('proofs', [
      shape({count: isLasting ? 1 : 4, longRunning: isLasting, resources: RESOURCES}),
    ]);
  }

  #draw(): number {
    this.#state = (this.#state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return this.#state / 2 ** 32;
  }

  /** Ends batch runs; returns whether a run crashes the minion. */
  #endRuns({runs}: MinionState, now: number): boolean {
    let isCrash = false;
    for (const run of [...runs]) {
      const {job, shape: each} = run.step;
      const ageMs = now - (run.confirmedAt ?? now);
      if (this.deadly.has(job)) {
        if (ageMs >= (this.#options.deadlyAgeMs ?? Infinity)) {
          isCrash = true;
          this.#crashes.set(job, (this.#crashes.get(job) ?? 0) + 1);
        }
      } else if (!each.longRunning && ageMs >= 1_000 + 500 * run.task.index) {
        this.#sample.fleet.finishRun(run, 'done', undefined, at(now));
      }
    }
    return isCrash;
  }

  #recordStarts(): void {
    for (const run of [...this.#sample.fleet.minions.values()].flatMap(({runs}) => [...runs])) {
      if (this.#runs.has(run)) {
        continue;
      }
      this.#runs.add(run);
      const {job} = run.step;
      if (this.deadly.has(job) && (this.#crashes.get(job) ?? 0) >= 3) {
        this.lateStarts.set(job, (this.lateStarts.get(job) ?? 0) + 1);
      }
      this.#idleSince.delete(`${job.id}.${run.task.index}`);
    }
  }

  #recordWaits(now: number): void {
    const {fleet} = this.#sample;
    for (const job of fleet.jobs.values()) {
      const [step] = job.occurrence(0) ?? [];
      for (const index of this.deadly.has(job) || step === undefined ? [] : step.crashes.indexes) {
        const name = `${job.id}.${index}`;
        const since = this.#idleSince.get(name);
        if (step === undefined || since === undefined || now < since) {
          continue;
        }
        const {isDeadly, isRestrained} = findCrashPause(fleet, step, index, at(now));
        for (const [isMet, names] of [
          [isDeadly, this.misjudged],
          [isRestrained, this.restrained],
        ] as const) {
          if (isMet) {
            names.add(name);
          }
        }
        const hasRoom = [...fleet.minions.values()].some(
          (minion) => minion.missedCalls === 0 && minion.hasCapacity(step.shape),
        );
        if (!hasRoom) {
          this.#idleSince.set(name, now);
        }
        this.longestWaitMs = Math.max(this.longestWaitMs, now - (hasRoom ? since : now));
      }
    }
  }
}
