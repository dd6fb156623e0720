/** The command `load requests`. */

import {readFileSync, writeFileSync} from 'node:fs';

import {readArms} from './PolicyArms.ts';
import {drawRuns} from './RequestPlot.ts';
import {formatTable, listRows} from './RequestReport.ts';
import {compareArms} from './RequestRun.ts';
import {readScenario} from './Scenario.ts';

/** Options of the command. */
export interface RequestOptions {
  readonly json: boolean;
  /** Path of the SVG plot to write. */
  readonly plot?: string | undefined;
  readonly policy: readonly string[];
  readonly scenario: string;
  readonly seed: number;
  readonly seeds: number;
}

function fail(message: string): void {
  console.error(message);
  process.exitCode = 2;
}

/** Runs a scenario for each policy and seed and prints the results as measured by the callers. */
export async function runRequests(options: RequestOptions): Promise<void> {
  const scenario = readScenario(readFileSync(options.scenario, 'utf8'));
  const arms = readArms(options.policy);
  if (scenario.isErr()) {
    fail(scenario.error.faults.join('\n'));
    return;
  }
  if (arms.isErr()) {
    fail(arms.error);
    return;
  }
  const seeds = Array.from({length: options.seeds}, (_each, index) => options.seed + index);
  const {name} = scenario.value;
  const runs = await compareArms(scenario.value, arms.value, seeds, ({arm, seed}) => {
    console.error(`${name}: completed ${arm}, seed ${seed}`);
  });
  if (options.plot !== undefined) {
    writeFileSync(options.plot, drawRuns(name, runs));
  }
  console.log(
    options.json ? JSON.stringify({rows: listRows(runs), scenario: name}) : formatTable(runs),
  );
}
