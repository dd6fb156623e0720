/** Waits of sound work beside jobs that fail everywhere, under owners that pass on which minions they do not trust. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {DrawnJob, DrawnPlay} from './WaitSamples.ts';

import {measureWaits} from './WaitPlay.ts';

/** Time in which work beside free room has to run, as the users specify. */
const FINISH_MS = 14_000;
const SERIES_MS = 30_000;
const LATER_MS = 1_000;

function createJob(
  acceptedAtMs: number,
  attempts: DrawnJob['attempts'],
  change: DrawnJob['change'],
  runMs: number,
  failsAfterMs?: number,
): DrawnJob {
  return {acceptedAtMs, attempts, change, failsAfterMs, runMs};
}

function createPlay(
  ownerMs: number,
  durationMs: number,
  minions: number,
  jobs: readonly DrawnJob[],
): DrawnPlay {
  const takeovers = Array.from({length: SERIES_MS / ownerMs}, (_, number) => ({
    atMs: (number + 1) * ownerMs,
    recoveryMs: 700,
  }));
  return {
    faults: [{atMs: 0, durationMs, failsAfterMs: 0, minion: 0}],
    jobs,
    minions,
    takeovers,
  };
}

/** Returns the longest wait of a job that does not fail by itself, from when all minions are sound. */
function findWait(play: DrawnPlay, soundFromMs: number): number {
  const waits = measureWaits(play, LATER_MS, soundFromMs);
  const sound = waits.filter(({job}) => play.jobs[job]?.failsAfterMs === undefined);
  return Math.max(0, ...sound.map(({waitedMs}) => waitedMs));
}

const WIDE = {count: 3, longRunning: true, resources: {cpuMilli: 2_000, gpus: 0, memoryMb: 100}};
const FEW = {requiredLabel: 'few'};
const MANY = {requiredLabel: 'many'};

const ONE_BAD = createPlay(3_000, 9_000, 6, [
  createJob(300, 3, WIDE, 1_000),
  createJob(5_100, 4, {count: 2, gang: true, maxPerMinion: 1}, 1_000),
  createJob(3_200, 3, FEW, 1_000),
  createJob(2_100, 3, MANY, 5_000),
  createJob(9_200, 2, {fillsSpareCpu: true}, 1_000),
  createJob(1_700, 4, MANY, 500),
  createJob(4_600, 3, {...FEW, longRunning: true}, 5_000, 1_000),
]);
const FEW_MINIONS = createPlay(1_500, 3_000, 2, [
  createJob(2_700, 3, {}, 1_000, 1_000),
  createJob(3_800, 3, {...FEW, longRunning: true}, 5_000, 1_000),
  createJob(1_800, 4, {count: 4}, 5_000, 1_000),
  createJob(5_100, 4, WIDE, 500, 1_000),
  createJob(800, 4, MANY, 500, 1_000),
  createJob(6_500, 3, {fillsSpareCpu: true}, 5_000),
  createJob(700, 4, {count: 2, longRunning: true}, 1_000),
]);

describe('Sound work under owners that pass on distrust', () => {
  for (const {name, play, soundFromMs} of [
    {name: 'one lasting job that fails, 6 minions', play: ONE_BAD, soundFromMs: 9_000},
    {name: 'five jobs that fail, 2 minions', play: FEW_MINIONS, soundFromMs: 3_000},
  ]) {
    // Guards against a bad job whose failures keep minions distrusted from owner to owner.
    it(`starts in time (${name})`, () => {
      const forgottenMs = findWait({...play, forgetsTrust: true}, soundFromMs);
      const waitedMs = findWait(play, soundFromMs);
      assert.ok(waitedMs <= FINISH_MS, `${waitedMs} ms, ${forgottenMs} ms if nothing is passed on`);
    });
  }
});
