/** Runs experiments one at a time and prints their results and fitted slopes. */

import type {BenchTimes} from './CapacityBench.ts';
import type {CapacityFigures} from './CapacityFigures.ts';
import type {CapacityExperiment} from './CapacitySize.ts';
import type {Slope} from './SlopeFit.ts';

import {CapacityBench} from './CapacityBench.ts';
import {EXPERIMENTS, SMALLEST_SIZE} from './CapacitySize.ts';
import {fitSlope} from './SlopeFit.ts';

export interface ReportOptions {
  readonly json: boolean;
  /** Measurements of each size. */
  readonly repeat: number;
  readonly times: BenchTimes;
}

/** The results at one size. */
export interface CapacityPoint {
  readonly figures: CapacityFigures;
  readonly size: number;
}

export type FigureName = keyof CapacityFigures;

const SIGNIFICANT_DIGITS = 4;

function roundNumbers(row: object): Record<string, unknown> {
  const entries = Object.entries(row).map(([name, value]: [string, unknown]) => [
    name,
    typeof value === 'number' ? Number(value.toPrecision(SIGNIFICANT_DIGITS)) : value,
  ]);
  return Object.fromEntries(entries) as Record<string, unknown>;
}

/** Fits one line for each figure. */
export function fitFigures(points: readonly CapacityPoint[]): Readonly<Record<FigureName, Slope>> {
  const names = Object.keys(points[0]?.figures ?? {}) as FigureName[];
  const slopes = names.map((name) => {
    const sized = points.map(({figures, size}) => ({figure: figures[name], size}));
    return [name, fitSlope(sized)] as const;
  });
  return Object.fromEntries(slopes) as Record<FigureName, Slope>;
}

async function measure(
  {base, factor, values}: CapacityExperiment,
  {repeat, times}: ReportOptions,
): Promise<readonly CapacityPoint[]> {
  const points: CapacityPoint[] = [];
  for (let round = 0; round < repeat; round += 1) {
    for (const value of values) {
      const size = {...SMALLEST_SIZE, ...base, [factor]: value};
      points.push({figures: await new CapacityBench(size).run(times), size: value});
    }
  }
  return points;
}

function printTables(
  name: string,
  {base, factor}: CapacityExperiment,
  points: readonly CapacityPoint[],
): void {
  console.log(`\n${name}: by ${factor}, with ${JSON.stringify(base)}`);
  console.table(points.map(({figures, size}) => roundNumbers({[factor]: size, ...figures})));
  const slopes = Object.entries(fitFigures(points));
  console.table(
    Object.fromEntries(slopes.map(([figure, slope]) => [figure, roundNumbers(slope)] as const)),
  );
}

/** Runs the named experiments and prints their results; unknown names are skipped. */
export async function runExperiments(
  names: readonly string[],
  options: ReportOptions,
): Promise<void> {
  const results: unknown[] = [];
  for (const name of names) {
    const experiment = EXPERIMENTS[name];
    if (experiment !== undefined) {
      const points = await measure(experiment, options);
      results.push({experiment: name, points, slopes: fitFigures(points), ...experiment});
      if (!options.json) {
        printTables(name, experiment, points);
      }
    }
  }
  if (options.json) {
    console.log(JSON.stringify({results, times: options.times}));
  }
}
