/** Aggregates fault-injection runs and formats the results. */

import type {RunReport} from './SeededRun.ts';

import {CHECKS} from './Checks.ts';
import {countBy} from './SeededRun.ts';

/** A run that could not be completed; it shows no result and counts as failed. */
export interface FailedRun {
  readonly error: string;
  readonly seed: number;
}

export interface RunSummary {
  readonly broken: readonly FailedRun[];
  readonly faults: Readonly<Record<string, number>>;
  readonly operations: Readonly<Record<string, number>>;
  readonly runs: number;
  readonly violatedSeeds: readonly number[];
  readonly violations: Readonly<Record<string, number>>;
}

/** Sums of runs; the run reports themselves are not kept. */
export class RunTotals {
  readonly #failed: FailedRun[] = [];
  readonly #faults: Record<string, number> = {};
  readonly #operations: Record<string, number> = {};
  #runs = 0;
  readonly #violatedSeeds: number[] = [];
  readonly #violations: Record<string, number> = Object.fromEntries(
    Object.keys(CHECKS).map((name) => [name, 0]),
  );

  add({faults, operations, seed, violations}: RunReport): void {
    this.#runs += 1;
    addCounts(
      this.#faults,
      countBy(faults, (name) => name),
    );
    addCounts(this.#operations, operations);
    addCounts(
      this.#violations,
      countBy(violations, ({invariant}) => invariant),
    );
    if (violations.length > 0) {
      this.#violatedSeeds.push(seed);
    }
  }

  addFailed(run: FailedRun): void {
    this.#failed.push(run);
  }

  summary(): RunSummary {
    return {
      broken: this.#failed,
      faults: this.#faults,
      operations: this.#operations,
      runs: this.#runs,
      violatedSeeds: this.#violatedSeeds,
      violations: this.#violations,
    };
  }
}

function addCounts(sums: Record<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [name, count] of Object.entries(counts)) {
    sums[name] = (sums[name] ?? 0) + count;
  }
}

function formatCounts(title: string, counts: Readonly<Record<string, number>>): readonly string[] {
  const lines = Object.entries(counts)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, count]) => `  ${name.padEnd(32)}${String(count).padStart(9)}`);
  return [title, ...lines];
}

/** Formats the command that runs one seed again. */
export function formatReplayCommand(seed: number, faults: readonly string[]): string {
  const chosen = faults.length > 0 ? ` --faults ${faults.join(',')}` : '';
  return `npm run prove -- --seed ${seed} --runs 1${chosen}`;
}

/** Formats a run as one line, with a line for each of its first 10 violations. */
export function formatRun(report: RunReport, chosenFaults: readonly string[]): string {
  const {durationMs, faults, operations, seed, violations} = report;
  const requests = Object.entries(operations)
    .filter(([name]) => name.startsWith('requests '))
    .reduce((sum, [, count]) => sum + count, 0);
  const seconds = (durationMs / 1_000).toFixed(1);
  const head = `seed ${seed}: ${violations.length} violations, ${requests} requests, ${seconds} s, ${faults.join(' ')}`;
  const lines = violations.slice(0, 10).map(({invariant, message}) => `  ${invariant}: ${message}`);
  const replay =
    violations.length > 0 ? [`  replay: ${formatReplayCommand(seed, chosenFaults)}`] : [];
  return [head, ...lines, ...replay].join('\n');
}

export function formatSummary(summary: RunSummary): string {
  const broken = summary.broken.map(({error, seed}) => `  seed ${seed}: ${error}`);
  return [
    `runs ${summary.runs}, with violations ${summary.violatedSeeds.length}, broken ${summary.broken.length}`,
    ...broken,
    ...formatCounts('operations', summary.operations),
    ...formatCounts('faults', summary.faults),
    ...formatCounts('violations', summary.violations),
  ].join('\n');
}
