/** The load and benchmark program: `load decisions [--steps N] [--seed N] [--json]`. */

import meow from 'meow';

import {runDecisions} from './DecisionReport.ts';

const cli = meow(
  `
  Usage
    $ load decisions   placement decisions against the size of the fleet

  Options
    --json     print JSON in place of a table
    --seed N   seed of the run (default 1)
    --steps N  arrivals that are measured at each size (default 20000)

  Examples
    $ node --expose-gc dist/load.cjs decisions --seed 7
`,
  {
    flags: {
      json: {default: false, type: 'boolean'},
      seed: {default: 1, type: 'number'},
      steps: {default: 20_000, type: 'number'},
    },
    importMeta: import.meta,
  },
);

const COMMANDS: Readonly<Record<string, (flags: typeof cli.flags) => void>> = {
  decisions: runDecisions,
};

const run = COMMANDS[cli.input[0] ?? ''];
if (run) {
  run(cli.flags);
} else {
  cli.showHelp(2);
}
