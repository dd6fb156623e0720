/** The capacity program: `capacity [EXPERIMENT...] [--repeat N] [--window S] [--json FILE]`. */

import meow from 'meow';

import {DEFAULT_SETTLE_SECONDS, DEFAULT_WINDOW_SECONDS} from './CapacityConstants.ts';
import {runExperiments} from './CapacityReport.ts';
import {EXPERIMENTS} from './CapacitySize.ts';

const cli = meow(
  `
  Usage
    $ capacity [EXPERIMENT...]

  Measures the control-plane cost of one entry VM while varying one size at a time, and fits
  straight lines. Runs all experiments by default: ${Object.keys(EXPERIMENTS).join(', ')}

  Options
    --json         print JSON instead of tables
    --repeat N     measurements per size (default 1)
    --settle S     seconds between the start of the load and the first reading
    --window S     seconds between the two readings

  Examples
    $ capacity entries workers --repeat 3
`,
  {
    flags: {
      json: {default: false, type: 'boolean'},
      repeat: {default: 1, type: 'number'},
      settle: {default: DEFAULT_SETTLE_SECONDS, type: 'number'},
      window: {default: DEFAULT_WINDOW_SECONDS, type: 'number'},
    },
    importMeta: import.meta,
  },
);

const names = cli.input.length > 0 ? cli.input : Object.keys(EXPERIMENTS);
if (names.every((name) => Object.hasOwn(EXPERIMENTS, name))) {
  void runExperiments(names, {
    json: cli.flags.json,
    repeat: cli.flags.repeat,
    times: {settleSeconds: cli.flags.settle, windowSeconds: cli.flags.window},
  });
} else {
  cli.showHelp(2);
}
