/** Command line of the fault-injection tests: `proof [--seed N] [--runs K] [--faults a,b] [--parallel P] [--json] [--out FILE]`. */

import meow from 'meow';
import {writeFileSync} from 'node:fs';

import type {FaultName} from './FaultInjection.ts';

import {FAULT_NAMES} from './FaultInjection.ts';
import {formatReplayCommand, formatRun, formatSummary, RunTotals} from './RunTotals.ts';
import {runSeed} from './SeededRun.ts';

const cli = meow(
  `
  Usage
    $ npm run prove -- [options]

  Options
    --faults a,b  faults to choose from (default all)
    --json        print the summary as JSON
    --out FILE    write the histories of runs with violations, one JSON line each
    --parallel P  number of concurrent runs (default 2)
    --runs K      number of runs, with consecutive seeds from --seed (default 1)
    --seed N      first seed (default 1)

  Exit status: 0 without violations, 1 after a violation or an incomplete run, 2 for an invalid option.
  Faults: ${FAULT_NAMES.join(', ')}
`,
  {
    flags: {
      faults: {default: '', type: 'string'},
      json: {default: false, type: 'boolean'},
      out: {type: 'string'},
      parallel: {default: 2, type: 'number'},
      runs: {default: 1, type: 'number'},
      seed: {default: 1, type: 'number'},
    },
    importMeta: import.meta,
  },
);

function isFault(name: string): name is FaultName {
  return name in Object.fromEntries(FAULT_NAMES.map((each) => [each, true]));
}

async function runOne(seed: number, chosen: readonly FaultName[], totals: RunTotals) {
  try {
    const report = await runSeed({seed, ...(chosen.length > 0 ? {faults: chosen} : {})});
    totals.add(report);
    if (!cli.flags.json || report.violations.length > 0) {
      console.error(formatRun(report, chosen));
    }
    if (cli.flags.out !== undefined && report.violations.length > 0) {
      writeFileSync(cli.flags.out, `${JSON.stringify(report)}\n`, {flag: 'a'});
    }
  } catch (error) {
    totals.addFailed({error: String(error), seed});
    console.error(
      `seed ${seed}: broken: ${String(error)}\n  replay: ${formatReplayCommand(seed, chosen)}`,
    );
  }
}

async function main(): Promise<void> {
  const names = cli.flags.faults.split(',').filter((name) => name !== '');
  const chosen = names.filter(isFault);
  if (chosen.length < names.length) {
    cli.showHelp(2);
  }
  const totals = new RunTotals();
  const seeds = Array.from({length: cli.flags.runs}, (_, index) => cli.flags.seed + index);
  const runNextSeeds = async (): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      await runOne(seed, chosen, totals);
    }
  };
  await Promise.all(Array.from({length: cli.flags.parallel}, runNextSeeds));
  const summary = totals.summary();
  console.log(cli.flags.json ? JSON.stringify(summary) : formatSummary(summary));
  process.exitCode = summary.violatedSeeds.length + summary.broken.length > 0 ? 1 : 0;
}

void main();
