import type {JobId} from '@nutmegproxy/core';
import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {recordMinionCrash} from '../../CrashRecorder.ts';
import {respond} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const STEP_MS = 50;
/** Time in milliseconds after which an owner notices that a minion is down, or is back. */
const NOTICE_MS = 100;
/** Shortest time in milliseconds for which a minion is down. */
const DOWN_MS = 500;
const BATCH_TASK_MS = 6_000;
/** Time in milliseconds from the last response of a minion until it crashes. */
const CRASH_DELAY_MS = 10;
/** A task is started at most this often: three crashes, and fewer than three starts more. */
const MAX_STARTS = 5;
const FLAPPING_END_MS = 16_500;
/** Time in milliseconds in which a task that lasts has to run again in the calm. */
const MAX_IDLE_MS = 9_000;
/** Longest time in milliseconds for which crashes by chance may keep a task from its start. */
const MAX_RESTRAINT_MS = 330_000;
/** Time in milliseconds for which a crash of a minion by itself may explain others. */
const EXPLAINED_MS = 15_000;

interface Flapping {
  readonly atMs: number;
  readonly gapMs: number;
  readonly untilMs: number;
}

/** Two minions of a kind beside others, which go down and up by turns. */
class UnstableFleet {
  /** Age in milliseconds at which a run of a job crashes its minion. */
  readonly deadlyAges = new Map<JobState, number>();
  readonly minions: readonly MinionState[];
  readonly sample = new SampleFleet(6);
  readonly #starts: {readonly job: JobId; readonly ms: number}[] = [];
  readonly #downSince = new Map<MinionState, number>();

  constructor() {
    this.minions = ['fast1', 'fast2'].map((name) =>
      this.sample.addMinion(name, {labels: ['fast', 'r1']}),
    );
  }

  addJob(longRunning: boolean): JobState {
    return this.sample.addJob('proofs', [shape({longRunning, requiredLabel: 'fast'})]);
  }

  /** Counts the starts of a job from an instant on. */
  countStarts({id}: JobState, fromMs = 0): number {
    return this.#starts.filter(({job, ms}) => job === id && ms >= fromMs).length;
  }

  play(untilMs: number, episodes: readonly Flapping[] = []): void {
    for (let now = 0; now < untilMs; now += STEP_MS) {
      for (const [turn, minion] of this.minions.entries()) {
        const isDown = episodes.some(
          ({atMs, gapMs, untilMs: end}) =>
            now >= atMs && now < end && Math.floor((now - atMs) / gapMs) % 2 === turn,
        );
        this.#setDown(minion, isDown, now);
      }
      for (const {task} of this.sample.plan(now)) {
        this.#starts.push({job: task.job, ms: now});
      }
      for (const minion of this.sample.fleet.minions.values()) {
        if (this.#downSince.has(minion)) {
          continue;
        }
        respond(this.sample, minion, now);
        this.#endRuns(minion, now);
      }
    }
  }

  /** Ends batch runs, and crashes the minions of deadly ones for a second. */
  #endRuns(minion: MinionState, now: number): void {
    for (const run of [...minion.runs]) {
      const {job, shape: each} = run.step;
      const ageMs = now - (run.confirmedAt ?? now);
      if (ageMs >= (this.deadlyAges.get(job) ?? Infinity)) {
        this.#takeDown(minion, now);
      } else if (!each.longRunning && ageMs >= BATCH_TASK_MS) {
        this.sample.fleet.finishRun(run, 'done', undefined, at(now));
      }
    }
  }

  #takeDown(minion: MinionState, now: number): void {
    this.#downSince.set(minion, now);
    minion.silentSince = at(now + CRASH_DELAY_MS);
    minion.missedCalls = 1;
  }

  #setDown(minion: MinionState, isDown: boolean, now: number): void {
    const downSince = this.#downSince.get(minion);
    const {fleet} = this.sample;
    if (isDown && downSince === undefined) {
      this.#takeDown(minion, now);
    } else if (!isDown && downSince !== undefined && now - downSince >= DOWN_MS + NOTICE_MS) {
      this.#downSince.delete(minion);
      minion.bornAt = (minion.bornAt ?? 0) + 1;
      recordMinionCrash(fleet, minion, at(now));
      for (const run of [...minion.runs]) {
        fleet.recordLostRun(run, 'minion restarted');
      }
      minion.silentSince = undefined;
      minion.missedCalls = 0;
    }
  }
}

function listEpisodes(offsetMs: number, gapMs: number): Flapping[] {
  return [
    {atMs: 1_500 + offsetMs, gapMs, untilMs: 8_500 + offsetMs},
    {atMs: 9_500 + offsetMs, gapMs, untilMs: FLAPPING_END_MS + offsetMs},
  ];
}

describe('The two minions of a kind that go down and up by turns', () => {
  const offsets = Array.from({length: 14}, (_, index) => index * 100);
  let fleet: UnstableFleet;

  function assertFewStarts(jobs: readonly JobState[], countedFromMs = 0): void {
    const starts = jobs.map((job) => fleet.countStarts(job, countedFromMs));
    assert.ok(jobs.every(({isFinal}) => !isFinal));
    assert.ok(Math.max(...starts) <= MAX_STARTS, `${starts.join(', ')} starts`);
  }

  beforeEach(() => {
    fleet = new UnstableFleet();
  });

  for (const gapMs of [600, 1_000, 1_400, 2_000, 3_000]) {
    it(`each ${gapMs} ms do not fail a batch job and a lasting one that are harmless`, () => {
      const failed = offsets.filter((offsetMs) => {
        const each = new UnstableFleet();
        const jobs = [each.addJob(false), each.addJob(true)];
        each.play(45_000, listEpisodes(offsetMs, gapMs));
        return jobs.some(({status}) => status === 'failed');
      });
      assert.deepEqual(failed, []);
    });

    for (const longRunning of [false, true]) {
      const kind = longRunning ? 'lasting' : 'batch';
      it(`each ${gapMs} ms do not fail the only job there, a harmless ${kind} one`, () => {
        const failed = offsets.filter((offsetMs) => {
          const each = new UnstableFleet();
          const job = each.addJob(longRunning);
          each.play(45_000, listEpisodes(offsetMs, gapMs));
          return job.status === 'failed';
        });
        assert.deepEqual(failed, []);
      });
    }
  }

  for (const gapMs of [1_000, 1_400, 2_000]) {
    it(`each ${gapMs} ms let six harmless lasting jobs that share them run soon after they stay up`, () => {
      const idle = offsets.map((offsetMs) => {
        const each = new UnstableFleet();
        const jobs = Array.from({length: 6}, () => each.addJob(true));
        each.play(FLAPPING_END_MS + offsetMs + MAX_IDLE_MS, listEpisodes(offsetMs, gapMs));
        return jobs.filter((job) => job.occurrence(0)?.[0]?.liveRuns !== 1).length;
      });
      assert.deepEqual(idle, Array(offsets.length).fill(0));
    });
  }

  it('each 4000 ms for a minute do not stop six harmless lasting jobs for good', () => {
    const untilMs = 60_000;
    const jobs = Array.from({length: 6}, () => fleet.addJob(true));
    fleet.play(untilMs + MAX_RESTRAINT_MS, [{atMs: 1_500, gapMs: 4_000, untilMs}]);
    assert.deepEqual(
      jobs.map((job) => job.occurrence(0)?.[0]?.liveRuns),
      Array(jobs.length).fill(1),
    );
  });

  it('let a harmless batch job be completed and a lasting one run once they stay up', () => {
    const [batch, lasting] = [fleet.addJob(false), fleet.addJob(true)];
    fleet.play(45_000, listEpisodes(0, 1_400));
    assert.equal(batch.status, 'completed');
    assert.equal(lasting.occurrence(0)?.[0]?.liveRuns, 1);
  });

  for (const ageMs of [0, 400, 1_400, 3_000]) {
    describe(`and run tasks that crash them ${ageMs} ms after their starts`, () => {
      for (const longRunning of [false, true]) {
        for (const jobs of [1, 2]) {
          const name = `${jobs} ${longRunning ? 'lasting' : 'batch'} jobs`;
          const addDeadlyJobs = (): JobState[] =>
            Array.from({length: jobs}, () => {
              const job = fleet.addJob(longRunning);
              fleet.deadlyAges.set(job, ageMs);
              return job;
            });

          it(`are crashed by each of ${name} five times at most when they are stable otherwise`, () => {
            const deadly = addDeadlyJobs();
            fleet.play(90_000);
            assertFewStarts(deadly);
          });

          it(`are crashed by each of ${name} five times at most once they stay up`, () => {
            const deadly = addDeadlyJobs();
            // At once after a start, other crashes of the minion explain nothing once it stays up.
            const countedFromMs = FLAPPING_END_MS + (ageMs === 0 ? 0 : EXPLAINED_MS);
            fleet.play(90_000, listEpisodes(0, 1_400));
            assertFewStarts(deadly, countedFromMs);
          });
        }
      }
    });
  }
});
