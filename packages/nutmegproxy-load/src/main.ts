/** The load and benchmark program: `load decisions [--steps N] [--seed N] [--json]`. */

import meow from 'meow';

import {runDecisions} from './DecisionReport.ts';
import {runTasks} from './TaskExperiment.ts';

const cli = meow(
  `
  Usage
    $ load decisions   placement decisions against the size of the fleet
    $ load tasks       the baseline's task policies against the learned ones, on real processes

  Options
    --no-baseline  leave the baseline out of the command tasks
    --json     print JSON in place of a table
    --runs N   seeds that are run by the command tasks (default 5)
    --seed N   seed of the run (default 1)
    --steps N  arrivals that are measured at each size (default 20000)

  Examples
    $ node --expose-gc dist/load.cjs decisions --seed 7
`,
  {
    flags: {
      baseline: {default: true, type: 'boolean'},
      json: {default: false, type: 'boolean'},
      runs: {default: 5, type: 'number'},
      seed: {default: 1, type: 'number'},
      steps: {default: 20_000, type: 'number'},
    },
    importMeta: import.meta,
  },
);

const COMMANDS: Readonly<Record<string, (flags: typeof cli.flags) => Promise<void> | void>> = {
  decisions: runDecisions,
  tasks: runTasks,
};

const run = COMMANDS[cli.input[0] ?? ''];
if (run) {
  void run(cli.flags);
} else {
  cli.showHelp(2);
}
