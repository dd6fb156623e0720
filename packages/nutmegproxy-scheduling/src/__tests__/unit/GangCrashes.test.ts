import type {JobState, Run, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {recordMinionCrash} from '../../CrashRecorder.ts';
import {at, SampleFleet, shape} from './Samples.ts';

/** A task is started at most this often: three crashes, and fewer than three starts more. */
const MAX_STARTS = 5;
const DOWN_MS = 2_000;

describe('A gang', () => {
  let gang: JobState;
  let sample: SampleFleet;
  let step: StepState;

  beforeEach(() => {
    sample = new SampleFleet(8);
    gang = sample.addJob('proofs', [shape({count: 6, gang: true, maxPerMinion: 1})]);
    const [only] = gang.occurrence(0) ?? [];
    assert.ok(only);
    step = only;
  });

  /** Crashes minions at the same time; each is back later, and the gang is broken. */
  function crash(minions: readonly MinionState[], atMs: number): void {
    for (const minion of minions) {
      minion.lastAnswerAt = at(atMs);
      minion.silentSince = at(atMs + 20);
    }
    for (const minion of minions) {
      minion.bornAt = (minion.bornAt ?? 0) + 1;
      recordMinionCrash(sample.fleet, minion, at(atMs + DOWN_MS));
      for (const run of [...minion.runs]) {
        sample.fleet.recordLostRun(run, 'minion restarted');
      }
      minion.silentSince = undefined;
    }
    const others = [...step.runs()].sort((a, b) => a.task.index - b.task.index);
    for (const run of others) {
      sample.fleet.finishRun(run, 'stopped', undefined, at(atMs + DOWN_MS));
    }
    sample.fleet.pendingStops.splice(0);
  }

  /**
   * Plays a minute in which the minions of chosen members crash some time after each start of the
   * gang, and returns how often the gang was started.
   */
  function countStarts(
    choose: (member: Run, start: number) => boolean,
    {ageMs = 10, bystanders = (): readonly MinionState[] => []} = {},
  ): number {
    let starts = 0;
    for (let now = 0; now < 60_000 && !gang.isFinal; now += 100) {
      const runs = sample.plan(now);
      if (runs.length === 0) {
        continue;
      }
      starts += 1;
      for (const run of runs) {
        run.confirmedAt = at(now);
        run.phase = 'running';
        run.knownFrom = 'listing';
      }
      const chosen = runs
        .filter((run) => choose(run, starts))
        .flatMap(({minion}) => sample.fleet.minions.get(minion) ?? []);
      if (chosen.length === 0) {
        break;
      }
      crash([...new Set([...chosen, ...bystanders()])], now + ageMs);
      now += DOWN_MS;
    }
    return starts;
  }

  describe('that crashes its minions', () => {
    it('is started five times at most though each member is placed on the same minion each time', () => {
      const starts = countStarts(() => true);
      assert.notEqual(gang.status, 'failed');
      assert.ok(starts <= MAX_STARTS, `${starts} starts`);
    });

    it('is started five times at most though only one member does, which is placed on the same minion', () => {
      const starts = countStarts(({task}) => task.index === 0);
      assert.notEqual(gang.status, 'failed');
      assert.ok(starts <= MAX_STARTS, `${starts} starts`);
    });

    it('is started five times at most though only one member does, long after each start', () => {
      const starts = countStarts(({task}) => task.index === 0, {ageMs: 3_000});
      assert.notEqual(gang.status, 'failed');
      assert.ok(starts <= MAX_STARTS, `${starts} starts`);
    });

    it('is started five times at most though another member does each time', () => {
      const starts = countStarts(({task}, start) => task.index === (start - 1) % 6);
      assert.notEqual(gang.status, 'failed');
      assert.ok(starts <= MAX_STARTS, `${starts} starts`);
    });

    it('is started five times at most though other machines fail with its minions each time', () => {
      const starts = countStarts(({task}, start) => task.index === (start - 1) % 6, {
        bystanders: () => [...sample.fleet.minions.values()].filter(({runs}) => runs.size === 0),
      });
      assert.notEqual(gang.status, 'failed');
      assert.ok(starts <= MAX_STARTS, `${starts} starts`);
    });
  });

  describe('that is good', () => {
    it('starts again at once after two machines failed under different members', () => {
      const starts = countStarts(({task}, start) => task.index === start - 1 && start <= 2);
      assert.equal(starts, 3);
      assert.notEqual(gang.status, 'failed');
    });

    it('starts again at once after its members were on machines that failed together three times', () => {
      const starts = countStarts(({task}, start) => task.index === start - 1 && start <= 3, {
        bystanders: () => [...sample.fleet.minions.values()].filter(({runs}) => runs.size === 0),
      });
      assert.equal(starts, 4);
      assert.notEqual(gang.status, 'failed');
    });

    it('starts again at once after four minions failed late under different members', () => {
      const starts = countStarts(({task}, start) => task.index === start - 1 && start <= 4, {
        ageMs: 3_000,
      });
      assert.equal(starts, 5);
      assert.notEqual(gang.status, 'failed');
    });
  });
});
