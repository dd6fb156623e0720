import type {JobId, MinionId} from '@nutmegproxy/core';
import type {JobState} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CrashPause} from '../../CrashPauses.ts';

import {computeCrashPause} from '../../CrashPauses.ts';
import {OutageLog} from '../../OutageLog.ts';
import {MAX_TRIAL_DELAY_MS} from '../../TrialPacing.ts';
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

  function listPauses(ageMs: number, perMinion: number, isLasting = false): CrashPause[] {
    return [2, 3, 4, 5, 6].map((count) => {
      const crashes = minions
        .slice(0, count)
        .map((minion, index) => crashOf(minion, ageMs, index + 1));
      return computeCrashPause(crashes, {
        isKnown: () => true,
        isLasting,
        isSoleSuspect: () => true,
        ratesAt: () => ({perFleet: perMinion * MINIONS, perMinion}),
      });
    });
  }

  it('ends before callers miss the task, unless chance is excluded as the cause of its crashes', () => {
    const pauses = listPauses(10, 1 / 240_000);
    assert.deepEqual(
      pauses.map(({pauseMs}) => pauseMs),
      [4_000, 10_500, 10_500, 10_500, 10_500],
    );
    assert.deepEqual(
      pauses.map(({isDeadly}) => isDeadly),
      [false, false, true, true, true],
    );
    assert.ok(pauses.every(({overdueMs}) => overdueMs < DEFAULT_PLATFORM_BOUNDS.finishMs - 1_000));
  });

  it('is no longer for a restrained task that lasts than for other suspects', () => {
    const pauses = listPauses(10, 1 / 240_000, true);
    assert.deepEqual(
      pauses.map(({overdueMs, pauseMs}) => [pauseMs, overdueMs]),
      [4_000, 5_000, 5_000, 5_000, 5_000].map((pauseMs) => [pauseMs, MAX_TRIAL_DELAY_MS]),
    );
  });

  it('stays short after crashes of minions that often crash without the task', () => {
    const pauses = listPauses(5_000, 1 / 16_000);
    assert.deepEqual(
      pauses.map(({pauseMs}) => pauseMs),
      [0, 1_000, 5_000, 5_000, 5_000],
    );
    assert.ok(pauses.every(({isDeadly, isRestrained}) => !isDeadly && !isRestrained));
  });
});

describe('The rate of crashes', () => {
  const sample = new SampleFleet(4);
  const job = sample.addJob('proofs', [shape()]);
  const [step] = job.occurrence(0) ?? [];
  assert.ok(step);
  const task = {at: at(20_000), index: 0, step};
  const outage = {
    address: '',
    blamed: [],
    cleanMinions: 2,
    from: at(0),
    jobs: new Set<JobId>(),
    minion: 'm1' as MinionId,
    suspectJobs: new Set<JobId>(),
    until: at(10),
  };

  it('leaves out crashes under the job itself and under trials of others', () => {
    const outages = new OutageLog();
    const none = outages.measureRates(task, 4, at(20_000));
    outages.add({...outage, hasTrial: true, suspectJobs: new Set([job.id])});
    outages.add({...outage, hasTrial: true});
    assert.deepEqual(outages.measureRates(task, 4, at(20_000)), none);
    outages.add({...outage, from: at(5_000), hasTrial: false, until: at(5_010)});
    assert.ok(outages.measureRates(task, 4, at(20_000)).perMinion > none.perMinion);
  });

  it('is that of the minions without trials', () => {
    const outages = new OutageLog();
    const seen = {...outage, hasTrial: false};
    outages.add({...seen, suspectJobs: new Set([job.id])});
    outages.add({...seen, from: at(5_000), hasTrial: true, until: at(5_010)});
    outages.add({...seen, from: at(5_000), minion: 'm2' as MinionId, until: at(5_010)});
    const {perFleet, perMinion} = outages.measureRates(task, 4, at(20_010));
    assert.equal(perFleet, 1 / 20_000 + 1 / 60_000);
    assert.equal(perMinion, 1 / 2 / 20_000 + 1 / 60_000 / 4);
  });
});
