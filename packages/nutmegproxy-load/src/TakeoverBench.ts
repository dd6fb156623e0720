/** Measures takeovers of fleets of several sizes, each in a process of its own, and prints the results. */

import {execFileSync} from 'node:child_process';

import type {TakeoverSize} from './TakeoverLoad.ts';
import type {TakeoverFigures, TakeoverPhase} from './TakeoverRun.ts';

import {measureTakeover} from './TakeoverRun.ts';

/** Sizes that are compared; the figures of the others are shares of those of the first. */
const SIZES: readonly TakeoverSize[] = [
  {jobs: 1_200, minions: 246},
  {jobs: 1_000, minions: 100},
  {jobs: 5_000, minions: 100},
  {jobs: 1_000, minions: 246},
  {jobs: 5_000, minions: 246},
  {jobs: 1_000, minions: 625},
  {jobs: 5_000, minions: 625},
];

/** Options of the takeover benchmark. */
export interface TakeoverOptions {
  readonly json: boolean;
  /** One case, as minions and jobs, for instance `246,1200`; empty for all. */
  readonly only: string;
  readonly seed: number;
  /** Runs of each case, of which the median counts. */
  readonly seeds: number;
}

/** Runs a case in a new process, whose code is as cold as that of a VM that becomes the owner. */
function measureInProcess({jobs, minions}: TakeoverSize, seed: number): TakeoverFigures {
  const args = ['takeover', '--only', `${minions},${jobs}`, '--seed', String(seed), '--json'];
  const output = execFileSync(process.execPath, [process.argv[1] ?? '', ...args]);
  return JSON.parse(output.toString()) as TakeoverFigures;
}

function findMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function summarize(runs: readonly TakeoverFigures[], reference: number) {
  const median = (read: (figures: TakeoverFigures) => number): number => findMedian(runs.map(read));
  const round = (value: number): number => Math.round(value * 100) / 100;
  const firstStartMs = median((each) => each.firstStartMs);
  const share = (phase: TakeoverPhase): number =>
    round(median(({cpuMs}) => cpuMs[phase]) / firstStartMs);
  return {
    adoption: share('adoption'),
    idlePerS: share('idle'),
    jobsRead: share('jobs'),
    minionsRead: share('minions'),
    sending: share('sending'),
    starting: share('starts'),
    toFirstStart: round(firstStartMs / reference),
    toFirstStartCpuMs: Math.round(firstStartMs),
    toFirstStartSpread: runs.map((each) => Math.round(each.firstStartMs)).join(' '),
  };
}

/** Measures each case `seeds` times, or one case once in this process. */
export async function runTakeovers({json, only, seed, seeds}: TakeoverOptions): Promise<void> {
  const [minions = 0, jobs = 0] = only.split(',').map(Number);
  if (minions > 0) {
    console.log(JSON.stringify(await measureTakeover({jobs, minions}, seed)));
    // Polls that still wait keep nothing that matters.
    process.exit();
  }
  const measured = SIZES.map((size) => ({
    runs: Array.from({length: seeds}, (_, index) => measureInProcess(size, seed + index)),
    size,
  }));
  const reference = findMedian(measured[0]?.runs.map((each) => each.firstStartMs) ?? []);
  const rows = measured.map(({runs, size}) => ({
    jobs: size.jobs,
    minions: size.minions,
    starts: runs[0]?.starts,
    ...summarize(runs, reference),
  }));
  if (json) {
    console.log(JSON.stringify({measured, rows}));
  } else {
    console.table(rows);
  }
}
