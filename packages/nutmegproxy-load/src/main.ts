/** The load and benchmark program; `load --help` shows its commands. */

import meow from 'meow';

import {runDecisions} from './DecisionReport.ts';
import {runPlanning} from './PlanningBench.ts';
import {runBench} from './RequestBench.ts';
import {runRequests} from './RequestCommand.ts';
import {runTakeovers} from './TakeoverBench.ts';
import {runTasks} from './TaskExperiment.ts';

const cli = meow(
  `
  Usage
    $ load decisions   measure placement decisions by fleet size
    $ load entry       measure the latency that one entry VM adds and its processor time per request
    $ load planning    measure rounds of planning of an overloaded owner by fleet size
    $ load takeover    measure the processor time of takeovers by phase
    $ load tasks       compare the baseline task policies with the learned ones on real processes
    $ load requests    send open-loop requests through entry VMs to stand-in minions

  Options
    --no-baseline    tasks: skip the baseline policies
    --json           print JSON instead of a table
    --only M,J       takeover: one fleet of M minions and J jobs, in this process
    --plot FILE      requests: write a latency plot as SVG
    --policy KEY=A,B requests: compare policies; KEY is queue or choice; repeatable
    --scenario FILE  requests: the scenario file
    --seed N         seed of the run (default 1)
    --seeds K        entry, planning, requests, takeover, tasks: run K seeds, starting with --seed (default 1)
    --steps N        decisions: arrivals to measure at each fleet size (default 20000)

  Examples
    $ node --expose-gc dist/load.cjs decisions --seed 7
    $ node dist/load.cjs requests --scenario packages/nutmegproxy-load/scenarios/mesa-overload.jsonc
`,
  {
    flags: {
      baseline: {default: true, type: 'boolean'},
      json: {default: false, type: 'boolean'},
      only: {default: '', type: 'string'},
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
  planning: runPlanning,
  requests: runRequests,
  takeover: runTakeovers,
  tasks: runTasks,
};

const run = COMMANDS[cli.input[0] ?? ''];
if (run) {
  void run(cli.flags);
} else {
  cli.showHelp(2);
}
