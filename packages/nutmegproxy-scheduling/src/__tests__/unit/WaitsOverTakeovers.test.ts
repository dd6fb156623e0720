/** Waits of work that no owner of a series has seen from the start, beside room that is free all the time. */

import type {JobId, MinionId} from '@nutmegproxy/core';
import type {JobState, RunNumber, StepProgress, StepShape, TaskCrash} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import {JobState as Job} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SharingCosts} from '../../Placement.ts';

import {JOB_A, JOB_B} from './ExclusionSamples.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';

const TICK_MS = 100;
/** Time in which work beside free room has to run, as the users specify. */
const FINISH_MS = 14_000;
const PLAY_MS = 60_000;
/** Time between two owners that others are given, and for how long each waits for reports. */
const SERIES = [
  {ownerMs: 3_000, recoveryMs: 700},
  {ownerMs: 7_000, recoveryMs: 1_000},
  {ownerMs: 7_000, recoveryMs: 5_000},
];

/** Work that waits, and why. */
interface Wait {
  readonly change?: Partial<StepShape>;
  readonly costs?: SharingCosts;
  /** Other jobs whose runs fail on all minions, again and again. */
  readonly failing: readonly JobId[];
  readonly progress?: Partial<StepProgress>;
}

const INTOLERANT: SharingCosts = {
  ...NO_SHARING_COSTS,
  backfillCost: () => undefined,
  overdueCost: () => 0,
};

const NO_PROGRESS: StepProgress = {checkpoints: {}, done: [], failures: {}};

const CRASHES = Array.from({length: 6}, (_, number): TaskCrash => ({
  address: `gone${number}:1`,
  ageMs: 60_000,
  evidence: 'unstable',
  minion: brand<MinionId>(`gone${number}`),
  run: (number + 1) as RunNumber,
}));

const WAITS: Readonly<Record<string, Wait>> = {
  'backfill that waits for tolerant minions': {
    change: {fillsSpareCpu: true},
    costs: INTOLERANT,
    failing: [],
  },
  'ordinary work that waits after crashes': {failing: [], progress: {crashes: {0: CRASHES}}},
  'ordinary work that waits for its last attempt': {
    failing: [JOB_A],
    progress: {failures: {0: [1 as RunNumber]}},
  },
  'ordinary work that waits for trust': {failing: [JOB_A, JOB_B]},
};

/** Returns the job as an owner reads it that took over at `termAt`. */
function readJob(sample: SampleFleet, wait: Wait, storedAtMs: number, termAt: number): JobState {
  const {request} = sample.addJob('proofs', [shape(wait.change)], storedAtMs);
  const steps = {'0.0': {...NO_PROGRESS, ...wait.progress}};
  const job = new Job(request, 1, {queue: request.queue, status: 'running', steps});
  if (storedAtMs < termAt) {
    job.heldSince = at(storedAtMs);
  }
  sample.fleet.jobs.set(job.id, job);
  return job;
}

/** Returns for how long the job waits for its first start; Infinity when it has none. */
function measureWait(
  wait: Wait,
  storedAtMs: number,
  {ownerMs, recoveryMs}: (typeof SERIES)[number],
): number {
  let sample = new SampleFleet(0);
  for (let now = 0; now <= PLAY_MS; now += TICK_MS) {
    if (now % ownerMs === 0) {
      sample = new SampleFleet(4, [queue('proofs')]);
      sample.fleet.formerReleasedAt = at(now);
      sample.fleet.recoveryRevision = Infinity;
      if (now > storedAtMs) {
        readJob(sample, wait, storedAtMs, now);
      }
    }
    if (now === storedAtMs) {
      readJob(sample, wait, storedAtMs, now - (now % ownerMs));
    }
    if (now % ownerMs === recoveryMs) {
      sample.fleet.recoveryRevision = 0;
    }
    for (const {trust} of sample.fleet.minions.values()) {
      for (const job of wait.failing) {
        trust.recordFailure(job, at(now));
      }
    }
    if (sample.plan(now, wait.costs).length > 0) {
      return now - storedAtMs;
    }
  }
  return Infinity;
}

describe('What waits beside free room under owners that follow one another', () => {
  for (const [name, wait] of Object.entries(WAITS)) {
    for (const series of SERIES) {
      // Guards against waits that begin anew with each owner.
      it(`starts in time (${name}, owners each ${series.ownerMs} ms, recoveries of ${series.recoveryMs} ms)`, () => {
        const late: string[] = [];
        for (let storedAtMs = 0; storedAtMs < series.ownerMs; storedAtMs += 2 * TICK_MS) {
          const waitedMs = measureWait(wait, storedAtMs, series);
          // Nothing starts while an owner that was given the fleet in the meantime waits for reports.
          if (waitedMs > FINISH_MS + series.recoveryMs) {
            late.push(`stored at ${storedAtMs} ms: ${waitedMs} ms`);
          }
        }
        assert.deepEqual(late, []);
      });
    }
  }
});
