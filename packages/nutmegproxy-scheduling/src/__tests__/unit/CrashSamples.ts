/** Minions of a sample fleet that crash and come back. */

import type {JobState, Run, TaskCrash} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';

import type {MinionState} from '../../MinionState.ts';
import type {SampleFleet} from './Samples.ts';

import {recordMinionCrash} from '../../CrashRecorder.ts';
import {reconcileListing} from '../../ListingReconciler.ts';
import {at, NO_SHARING_COSTS} from './Samples.ts';

/** When a minion that has crashed is back. */
const upAt = new WeakMap<MinionState, number>();

/** Returns a crash of a minion under a run of a task. */
export function crashOf(
  {description: {address}, id}: MinionState,
  ageMs: number,
  number: number,
): TaskCrash {
  return {address, ageMs, evidence: 'shared', minion: id, run: number as Run['number']};
}

/** Confirms all starts of a minion that are not confirmed. */
export function confirm({runs}: MinionState, atMs: number): void {
  for (const run of runs) {
    run.phase = run.phase === 'starting' ? 'running' : run.phase;
    run.confirmedAt ??= at(atMs);
    run.knownFrom = 'listing';
  }
}

/** Lets a minion respond, with all of its runs live. */
export function respond({fleet}: SampleFleet, minion: MinionState, nowMs: number): void {
  confirm(minion, nowMs);
  minion.lastAnswerAt = at(nowMs);
  const listing = {
    bornAt: minion.bornAt,
    clockMs: nowMs,
    ended: [],
    mayOmitResults: false,
    running: [...minion.runs].map(({number, task}) => ({
      checkpoint: undefined,
      number,
      percent: 0,
      reading: undefined,
      task,
    })),
  };
  const times = {appliedThrough: 0, now: at(nowMs), requestedAt: at(nowMs)};
  reconcileListing(fleet, minion, listing, times);
}

/** Crashes minions at the same time; each is back after a time, by default two seconds. */
export function crash(
  {fleet}: SampleFleet,
  minions: readonly MinionState[],
  atMs: number,
  downMs = 2_000,
): void {
  for (const minion of minions) {
    minion.lastAnswerAt ??= at(atMs);
    upAt.set(minion, atMs + downMs);
    minion.silentSince = at(atMs + 20);
  }
  for (const minion of minions) {
    minion.bornAt = (minion.bornAt ?? 0) + 1;
    recordMinionCrash(fleet, minion, at(atMs + downMs));
    for (const run of [...minion.runs]) {
      fleet.recordLostRun(run, 'minion restarted');
    }
    minion.silentSince = undefined;
    minion.missedCalls = 1;
  }
}

export function startOn(
  sample: SampleFleet,
  job: JobState,
  minion: MinionState,
  atMs: number,
  chosen?: number,
): Run {
  const step = job.occurrence(0)?.[0];
  const index = chosen ?? step?.waiting.values().next().value;
  assert.ok(step !== undefined && index !== undefined);
  const run = sample.fleet.startRun(step, index, minion, at(atMs));
  confirm(minion, atMs);
  return run;
}

/** Plans every 100 ms while all minions respond; calls `onStep` after each round. */
export function play(
  sample: SampleFleet,
  fromMs: number,
  untilMs: number,
  onStep: (now: number) => void = () => undefined,
  sharingCosts = NO_SHARING_COSTS,
): void {
  for (let now = fromMs; now < untilMs; now += 100) {
    for (const minion of sample.fleet.minions.values()) {
      minion.missedCalls = now < (upAt.get(minion) ?? 0) ? 1 : 0;
    }
    sample.plan(now, sharingCosts);
    for (const minion of sample.fleet.minions.values()) {
      if (minion.missedCalls === 0) {
        respond(sample, minion, now);
      }
    }
    onStep(now);
  }
}
