import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeCrashPause} from '../../CrashPauses.ts';
import {crash, crashOf, play} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const MINIONS = 8;
const CRASHES = 40;
const CRASH_GAP_MS = 2_000;
/** Time in milliseconds from its last run within which a task that lasts has to run again in the calm. */
const MAX_IDLE_MS = 9_000;

/** Five lasting jobs of six tasks, while a minion at a time crashes, drawn at random. */
class ChancePlay {
  readonly jobs: readonly JobState[];
  readonly #sample = new SampleFleet(MINIONS);
  #state: number;

  constructor(seed: number) {
    this.#state = seed;
    const resources = {cpuMilli: 800, gpus: 0, memoryMb: 100};
    this.jobs = Array.from({length: 5}, () =>
      this.#sample.addJob('proofs', [
        shape({count: 6, longRunning: true, maxPerMinion: 1, resources}),
      ]),
    );
  }

  play(): void {
    const minions = [...this.#sample.fleet.minions.values()];
    play(this.#sample, 0, CRASHES * CRASH_GAP_MS, (now) => {
      if (now >= CRASH_GAP_MS && now % CRASH_GAP_MS === 0) {
        const minion = minions[this.#draw()];
        crash(this.#sample, minion === undefined ? [] : [minion], now);
      }
    });
  }

  /** Plays on without crashes; returns how many tasks do not run then. */
  countIdleAfterwards(ms: number): number {
    play(this.#sample, CRASHES * CRASH_GAP_MS, CRASHES * CRASH_GAP_MS + ms);
    return this.jobs.reduce((sum, job) => sum + (job.occurrence(0)?.[0]?.waiting.size ?? 0), 0);
  }

  /** Draws the number of a minion (a linear congruential generator). */
  #draw(): number {
    this.#state = (this.#state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return Math.floor((this.#state / 2 ** 32) * MINIONS);
  }
}

describe('Lasting jobs while single minions crash by chance', () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`are not shown as failed, since no run of theirs has failed, in play ${seed}`, () => {
      const chance = new ChancePlay(seed);
      chance.play();
      assert.deepEqual(
        chance.jobs.filter(({status}) => status === 'failed').map(({id}) => id),
        [],
      );
    });

    it(`run again soon after the last crash, in play ${seed}`, () => {
      const chance = new ChancePlay(seed);
      chance.play();
      assert.equal(chance.countIdleAfterwards(MAX_IDLE_MS), 0);
    });
  }
});

describe('The pause after crashes under a task', () => {
  const sample = new SampleFleet(6);
  const minions = [...sample.fleet.minions.values()];

  function crashes(count: number, ageMs: number): ReturnType<typeof crashOf>[] {
    return minions.slice(0, count).map((minion, index) => crashOf(minion, ageMs, index + 1));
  }

  it('grows with each crash that minions hardly have by chance', () => {
    const rates = {perFleet: 1 / 30_000, perMinion: 1 / 240_000};
    const pauses = [2, 3, 4, 5, 6].map((count) =>
      computeCrashPause(crashes(count, 10), {isSoleSuspect: () => true, rates}),
    );
    assert.deepEqual(
      pauses.map(({pauseMs}) => pauseMs),
      [4_000, 8_000, 20_000, 120_000, 300_000],
    );
  });

  it('stays short after crashes of minions that often crash without the task', () => {
    const rates = {perFleet: 1 / 2_000, perMinion: 1 / 16_000};
    const pauses = [2, 3, 4, 5, 6].map((count) =>
      computeCrashPause(crashes(count, 5_000), {isSoleSuspect: () => true, rates}),
    );
    assert.deepEqual(
      pauses.map(({pauseMs}) => pauseMs),
      [0, 1_000, 5_000, 5_000, 5_000],
    );
  });
});

describe('The rates of crashes', () => {
  it('leave out crashes under the job itself and under trials of others', () => {
    const sample = new SampleFleet(4);
    const job = sample.addJob('proofs', [shape()]);
    const [step] = job.occurrence(0) ?? [];
    assert.ok(step);
    const task = {index: 0, step};
    const {outages} = sample.fleet;
    const outage = {address: '', blamed: [], from: at(0), minion: 'm1' as never, until: at(10)};
    const none = outages.measureRates(task, 4, at(20_000));
    outages.add({...outage, hasTrial: false, jobs: new Set(), suspectJobs: new Set([job.id])});
    outages.add({...outage, hasTrial: true, jobs: new Set(), suspectJobs: new Set()});
    assert.deepEqual(outages.measureRates(task, 4, at(20_000)), none);
    outages.add({...outage, hasTrial: false, jobs: new Set(), suspectJobs: new Set()});
    const rates = outages.measureRates(task, 4, at(20_000));
    assert.ok(rates.perMinion > none.perMinion);
  });
});
