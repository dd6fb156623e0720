import type {JobState, Run} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {SUSPICION_BOUND_MS} from '../../TrialPacing.ts';
import {crash, crashOf, play} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

/** A task that crashes its minions is started at most this often. */
const MAX_STARTS = 5;
/** All suspects together take less than half of the capacity. */
const RESOURCES = {cpuMilli: 200, gpus: 0, memoryMb: 10};
const MINIONS = 20;
const SUSPECTS = 160;
const DEADLY_EVERY = 40;
/** Time in milliseconds from a crash in a play until its minion is back and the crash is recorded. */
const DOWN_MS = 2_000;
const BATCH_TASK_MS = 1_000;

/** Jobs of one task each, which two minions have crashed under; some of them crash each minion. */
class SuspectPlay {
  readonly deadly = new Set<JobState>();
  readonly sound = new Set<JobState>();
  readonly starts = new Map<JobState, number>();
  /** Longest time from the last crash of a minion under a sound job to its next start. */
  longestWaitMs = 0;
  readonly #ageMs: number;
  /** Since when the jobs without a run wait. */
  readonly #idleSince = new Map<JobState, number>();
  readonly #sample = new SampleFleet(MINIONS);

  constructor(options: {
    readonly ageMs: number;
    readonly formerAgeMs: number;
    readonly isLasting: boolean;
    readonly seed: number;
  }) {
    const {ageMs, formerAgeMs, isLasting, seed} = options;
    this.#ageMs = ageMs;
    const minions = [...this.#sample.fleet.minions.values()];
    for (let number = 0; number < SUSPECTS; number += 1) {
      const isDeadly = (number + seed) % DEADLY_EVERY === 0;
      const longRunning = isLasting || isDeadly;
      const job = this.#sample.addJob('proofs', [shape({longRunning, resources: RESOURCES})]);
      for (const turn of [0, 1]) {
        const minion = minions[(number * (seed + 1) + turn) % MINIONS];
        assert.ok(minion);
        const recorded = {
          ...crashOf(minion, formerAgeMs, turn + 1),
          evidence: 'unconfirmed' as const,
        };
        job.occurrence(0)?.[0]?.crashes.record(0, recorded, at(0));
      }
      this.#idleSince.set(job, 0);
      (isDeadly ? this.deadly : this.sound).add(job);
    }
  }

  play(untilMs: number): void {
    const seen = new Set<Run>();
    const minions = [...this.#sample.fleet.minions.values()];
    play(this.#sample, 0, untilMs, (now) => {
      for (const run of minions.flatMap(({runs}) => [...runs])) {
        if (!seen.has(run)) {
          seen.add(run);
          this.#recordStart(run.step.job, now);
        }
      }
      const due = minions.filter((minion) => this.#endRuns(minion, now));
      for (const {step} of due.flatMap(({runs}) => [...runs])) {
        this.#idleSince.set(step.job, now + DOWN_MS);
      }
      crash(this.#sample, due, now);
    });
    for (const [job, since] of this.#idleSince) {
      const isCounted = !job.isFinal && !this.deadly.has(job);
      this.longestWaitMs = Math.max(this.longestWaitMs, isCounted ? untilMs - since : 0);
    }
  }

  #recordStart(job: JobState, now: number): void {
    this.starts.set(job, (this.starts.get(job) ?? 0) + 1);
    const waitedMs = now - (this.#idleSince.get(job) ?? now);
    this.longestWaitMs = Math.max(this.longestWaitMs, this.deadly.has(job) ? 0 : waitedMs);
    this.#idleSince.delete(job);
  }

  /** Ends batch runs; returns whether a run crashes the minion. */
  #endRuns({runs}: MinionState, now: number): boolean {
    let isCrash = false;
    for (const run of [...runs]) {
      const {job, shape: each} = run.step;
      const ageMs = now - (run.confirmedAt ?? now);
      isCrash ||= this.deadly.has(job) && ageMs >= this.#ageMs;
      if (!each.longRunning && ageMs >= BATCH_TASK_MS) {
        this.#sample.fleet.finishRun(run, 'done', undefined, at(now));
      }
    }
    return isCrash;
  }
}

function listFailed(jobs: ReadonlySet<JobState>): string[] {
  return [...jobs].filter(({status}) => status === 'failed').map(({id}) => id);
}

describe('More suspects than there are trials for, some of which crash each minion', () => {
  for (const isLasting of [false, true]) {
    for (const [ageMs, formerAgeMs] of [
      [0, 0],
      [300, 490],
      [2_000, 490],
      [2_000, 2_000],
      [4_000, 2_000],
    ] as const) {
      describe(`${ageMs} ms after its start, ${formerAgeMs} ms before (lasting: ${isLasting})`, () => {
        for (const seed of [1, 2, 3]) {
          it(`start in time, and no job is shown as failed, in play ${seed}`, () => {
            const suspects = new SuspectPlay({ageMs, formerAgeMs, isLasting, seed});
            suspects.play(60_000);
            assert.deepEqual(listFailed(suspects.sound), []);
            assert.ok(
              suspects.longestWaitMs <= SUSPICION_BOUND_MS,
              `waited for ${suspects.longestWaitMs} ms`,
            );
          });

          it(`that crash them are started a few times in play ${seed}`, () => {
            const suspects = new SuspectPlay({ageMs, formerAgeMs, isLasting, seed});
            suspects.play(60_000);
            const starts = [...suspects.deadly].map((job) => suspects.starts.get(job) ?? 0);
            assert.deepEqual(listFailed(suspects.deadly), []);
            assert.ok(Math.max(...starts) <= MAX_STARTS, `${starts.join(', ')} starts`);
          });
        }
      });
    }
  }
});

describe('A batch job with many suspected tasks', () => {
  it('does not hold any of its tasks until all of them have had trials one by one', () => {
    const sample = new SampleFleet(12);
    const job = sample.addJob('proofs', [shape({count: 30, resources: RESOURCES})]);
    const step = job.occurrence(0)?.[0];
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(step && first && second);
    for (let index = 0; index < 25; index += 1) {
      step.crashes.record(index, crashOf(first, 490, 1), at(0));
      step.crashes.record(index, crashOf(second, 490, 2), at(0));
    }
    play(sample, 0, SUSPICION_BOUND_MS + 1);
    assert.equal(step.waiting.size, 0);
  });
});
