/** The load and benchmark program; `load --help` shows its commands. */

import meow from 'meow';

import {runDecisions} from './DecisionReport.ts';
import {runBench} from './RequestBench.ts';
import {runRequests} from './RequestCommand.ts';

const cli = meow(
  `
  Usage
    $ load decisions   placement decisions against the size of the fleet
    $ load entry       latency that one entry VM adds, and the processor time of a request
    $ load requests    requests through entry VMs, against stand-ins, in an open loop

  Options
    --json           print JSON in place of a table
    --plot FILE      requests: write latencies as an SVG picture
    --policy KEY=A,B requests: compare policies; KEY is queue or choice; may stand twice
    --scenario FILE  requests: the scenario
    --seed N         seed of the run (default 1)
    --seeds K        entry, requests: run K seeds, from --seed on (default 1)
    --steps N        decisions: arrivals that are measured at each size (default 20000)

  Examples
    $ node --expose-gc dist/load.cjs decisions --seed 7
    $ node dist/load.cjs requests --scenario packages/nutmegproxy-load/scenarios/mesa-overload.jsonc
`,
  {
    flags: {
      json: {default: false, type: 'boolean'},
      plot: {type: 'string'},
      policy: {default: [], isMultiple: true, type: 'string'},
      scenario: {default: '', type: 'string'},
      seed: {default: 1, type: 'number'},
      seeds: {default: 1, type: 'number'},
      steps: {default: 20_000, type: 'number'},
    },
    importMeta: import.meta,
  },
);

const COMMANDS: Readonly<Record<string, (flags: typeof cli.flags) => Promise<void> | void>> = {
  decisions: runDecisions,
  entry: runBench,
  requests: runRequests,
};

const run = COMMANDS[cli.input[0] ?? ''];
if (run) {
  void run(cli.flags);
} else {
  cli.showHelp(2);
}
