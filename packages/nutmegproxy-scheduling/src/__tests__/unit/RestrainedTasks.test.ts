import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {findCrashPause} from '../../CrashPauses.ts';
import {MAX_TRIAL_DELAY_MS} from '../../TrialPacing.ts';
import {crash, crashOf, play, startOn} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const MINIONS = 20;
/** More than there are minions for the usual trials. */
const RESTRAINED = 10;
const RESOURCES = {cpuMilli: 400, gpus: 0, memoryMb: 10};
/** Age in milliseconds of the runs under which minions crashed before. */
const FORMER_AGE_MS = 2_000;
const FORMER_RUNS = [1, 2];
const CRASH_MS = 100;
/** Time in milliseconds from its last run within which a task that lasts has to run again in the calm. */
const MAX_IDLE_MS = 9_000;

/** Tasks of as many jobs, under each of which a third minion has crashed at the same time. */
class RestrainedPlay {
  /** Times in milliseconds from the crash to the starts. */
  readonly idleMs: number[] = [];
  readonly minions: readonly MinionState[];
  readonly #downMs: number;
  readonly #sample = new SampleFleet(MINIONS);

  constructor({downMs, isLasting}: {readonly downMs: number; readonly isLasting: boolean}) {
    this.#downMs = downMs;
    this.minions = [...this.#sample.fleet.minions.values()];
    this.#sample.fleet.runNumberBase = FORMER_RUNS.length + 1;
    const crashed = this.minions.slice(0, RESTRAINED);
    for (const [number, minion] of crashed.entries()) {
      const job = this.#sample.addJob('proofs', [
        shape({longRunning: isLasting, resources: RESOURCES}),
      ]);
      const step = job.occurrence(0)?.[0];
      assert.ok(step);
      for (const run of FORMER_RUNS) {
        const other = this.minions[(number + run) % MINIONS];
        assert.ok(other);
        const former = {...crashOf(other, FORMER_AGE_MS, run), evidence: 'alone' as const};
        step.crashes.record(0, former, at(0));
      }
      startOn(this.#sample, job, minion, 0);
    }
    crash(this.#sample, crashed, CRASH_MS, downMs);
    for (const job of this.#sample.fleet.jobs.values()) {
      const [step] = job.occurrence(0) ?? [];
      assert.ok(step);
      const {isDeadly, isRestrained} = findCrashPause(this.#sample.fleet, step, 0, at(CRASH_MS));
      assert.deepEqual({isDeadly, isRestrained}, {isDeadly: false, isRestrained: true});
      assert.equal(step.crashes.of(0).length, FORMER_RUNS.length + 1);
    }
  }

  play(lastMs: number): void {
    play(this.#sample, CRASH_MS + this.#downMs, lastMs, (now) => {
      const live = this.minions.flatMap(({runs}) => [...runs]);
      while (this.idleMs.length < live.length) {
        this.idleMs.push(now - CRASH_MS);
      }
    });
  }
}

describe('Tasks that are restrained at the same time', () => {
  for (const downMs of [2_000, 5_000]) {
    describe(`while their minions are down for ${downMs} ms`, () => {
      it('run again before callers miss them, when they last', () => {
        const restrained = new RestrainedPlay({downMs, isLasting: true});
        restrained.play(MAX_IDLE_MS + CRASH_MS);
        assert.equal(restrained.idleMs.length, RESTRAINED);
      });

      it('run again before callers miss them, when they end', () => {
        const restrained = new RestrainedPlay({downMs, isLasting: false});
        restrained.play(DEFAULT_PLATFORM_BOUNDS.finishMs + CRASH_MS);
        assert.equal(restrained.idleMs.length, RESTRAINED);
      });
    });
  }

  it('all have trials before they start on any minion, though they are more than usual', () => {
    const restrained = new RestrainedPlay({downMs: 2_000, isLasting: true});
    restrained.play(MAX_IDLE_MS + CRASH_MS);
    assert.equal(restrained.idleMs.length, RESTRAINED);
    assert.ok(Math.max(...restrained.idleMs) < MAX_TRIAL_DELAY_MS);
  });
});
