/** Waits of work under owners that pass on which minions they did not trust. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {DrawnJob, DrawnPlay, DrawnTakeover} from './WaitSamples.ts';

import {measureWaits} from './WaitPlay.ts';
import {FAILING_LASTING} from './WaitSamples.ts';

/** Time in which work beside free room has to run, as the users specify. */
const FINISH_MS = 14_000;
const SERIES_MS = 35_000;
const LATER_MS = 1_000;
const RECOVERY_MS = 700;
const MINIONS = 4;
const FIRST_JOB_MS = 4_000;
const SOUND_FROM_MS = 5_000;

const KINDS: Readonly<Record<string, DrawnJob['change']>> = {
  'a gang': {count: 2, gang: true, maxPerMinion: 1},
  'a lasting job': {count: 2, longRunning: true},
  'a task': {},
  backfill: {fillsSpareCpu: true},
};

function listTakeovers(ownerMs: number): readonly DrawnTakeover[] {
  return Array.from({length: Math.floor(SERIES_MS / ownerMs)}, (_, number) => ({
    atMs: (number + 1) * ownerMs,
    recoveryMs: RECOVERY_MS,
  }));
}

/** Returns the longest wait of a sound job, whenever it comes, beside lasting jobs that fail on all minions. */
function findLongestWait(ownerMs: number, change: DrawnJob['change'], failing: number): number {
  const takeovers = listTakeovers(ownerMs);
  const waits: number[] = [];
  for (let atMs = FIRST_JOB_MS; atMs < FIRST_JOB_MS + ownerMs; atMs += 500) {
    const sound = {acceptedAtMs: atMs, attempts: 2, change, failsAfterMs: undefined} as const;
    const jobs = Array.from({length: failing}, () => FAILING_LASTING);
    const play: DrawnPlay = {
      faults: [],
      jobs: [...jobs, {...sound, runMs: 1_000}],
      minions: MINIONS,
      takeovers,
    };
    const wait = measureWaits(play, LATER_MS, 0).find(({job}) => job === failing);
    waits.push(wait?.waitedMs ?? 0);
  }
  return Math.max(...waits);
}

/** Returns the longest wait of any job from when all minions are sound. */
function findLongestLaterWait(play: DrawnPlay): number {
  const waits = measureWaits(play, LATER_MS, SOUND_FROM_MS);
  return Math.max(0, ...waits.map(({waitedMs}) => waitedMs));
}

describe('Work under owners that follow one another', () => {
  for (const ownerMs of [3_000, 7_000]) {
    for (const [kind, change] of Object.entries(KINDS)) {
      for (const failing of [1, 4]) {
        // Guards against waits for the trust that a former owner did not have.
        it(`starts in time beside lasting tasks that fail everywhere (${kind}, ${failing} jobs, owners each ${ownerMs} ms)`, () => {
          const waitedMs = findLongestWait(ownerMs, change, failing);
          assert.ok(waitedMs <= FINISH_MS, `${waitedMs} ms`);
        });
      }
    }
  }

  /** Returns a play in which runs fail on some minions until 5 s. */
  function createPlay(ownerMs: number, change: DrawnJob['change'], failing: number): DrawnPlay {
    const faults = Array.from({length: failing}, (_, minion) => ({
      atMs: 0,
      durationMs: SOUND_FROM_MS,
      failsAfterMs: 0,
      minion,
    }));
    const jobs = [0, 700, 1_400, 2_100, 2_800, 4_900].map((acceptedAtMs): DrawnJob => ({
      acceptedAtMs,
      attempts: 3,
      change,
      failsAfterMs: undefined,
      runMs: 1_000,
    }));
    return {faults, jobs, minions: MINIONS, takeovers: listTakeovers(ownerMs)};
  }

  for (const ownerMs of [3_000, 7_000]) {
    for (const [kind, change] of Object.entries(KINDS)) {
      it(`starts in time once minions that all failed are sound (${kind}, owners each ${ownerMs} ms)`, () => {
        const play = createPlay(ownerMs, change, MINIONS);
        const late = measureWaits(play, LATER_MS, SOUND_FROM_MS).filter(
          ({waitedMs}) => waitedMs > FINISH_MS,
        );
        assert.deepEqual(late, []);
      });
    }
  }

  for (const ownerMs of [1_500, 2_500, 3_000, 4_500, 7_000]) {
    for (const [kind, change] of Object.entries(KINDS)) {
      for (const failing of [MINIONS - 1, MINIONS]) {
        // Guards against waits for trials of minions that a former owner found failing while no others could take the work.
        it(`waits no longer than if owners passed on nothing where ${failing} of ${MINIONS} minions failed (${kind}, owners each ${ownerMs} ms)`, () => {
          const play = createPlay(ownerMs, change, failing);
          const allowedMs = findLongestLaterWait({...play, forgetsTrust: true});
          const waitedMs = findLongestLaterWait(play);
          assert.ok(waitedMs <= allowedMs, `${waitedMs} ms instead of ${allowedMs} ms`);
        });
      }
    }
  }
});
