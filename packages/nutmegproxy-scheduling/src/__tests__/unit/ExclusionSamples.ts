/** Plays of a fleet for the tests of what keeps work from minions. */

import type {JobId} from '@nutmegproxy/core';
import type {JobState, Run} from '@nutmegproxy/jobs';

import {brand, DEFAULT_PLATFORM_BOUNDS, invariant} from '@nutmegproxy/core';

import type {MinionState} from '../../MinionState.ts';
import type {SampleFleet} from './Samples.ts';

import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {at, shape} from './Samples.ts';

export const [JOB_A, JOB_B] = [brand<JobId>('a'), brand<JobId>('b')];
export const LASTING = shape({longRunning: true});

const TICK_MS = 100;

/** Returns how a run ends at its first listing from `now` on; undefined when it goes on. */
export type EndOfRun = (run: Run, now: number) => 'done' | 'failed' | 'stopped' | undefined;

export function findMinion({fleet}: SampleFleet, index = 0): MinionState {
  const minion = [...fleet.minions.values()][index];
  invariant(minion !== undefined, 'tests: no such minion');
  return minion;
}

/** Records failures of two jobs, which quarantine the minion. */
export function failTwice({trust}: MinionState, nowMs: number): void {
  trust.recordFailure(JOB_A, at(nowMs));
  trust.recordFailure(JOB_B, at(nowMs));
}

/** Plans and lists at regular times; returns the times of all starts of each job, in milliseconds. */
export function play(
  sample: SampleFleet,
  fromMs: number,
  untilMs: number,
  end: EndOfRun = () => undefined,
): Map<JobState, number[]> {
  const monitor = new RunProgressMonitor(sample.estimator, DEFAULT_PLATFORM_BOUNDS);
  const starts = new Map<JobState, number[]>();
  for (let now = fromMs; now <= untilMs; now += TICK_MS) {
    for (const run of sample.plan(now)) {
      starts.set(run.step.job, [...(starts.get(run.step.job) ?? []), now]);
      run.phase = 'running';
      run.confirmedAt = at(now);
    }
    for (const minion of sample.fleet.minions.values()) {
      for (const run of [...minion.runs]) {
        const {estimateMs = 1_000, longRunning} = run.step.shape;
        run.percent = longRunning ? 100 : Math.min(99, ((now - run.sentAt) / estimateMs) * 100);
        const outcome = now > run.sentAt ? end(run, now) : undefined;
        if (outcome !== undefined) {
          sample.fleet.finishRun(run, outcome, undefined, at(now));
        }
      }
      monitor.checkProgress(sample.fleet, minion, at(now));
    }
  }
  return starts;
}
