/**
 * Some of the jobs that come to a fleet of three minions can never be done. The last job before the end
 * of the traffic has a task whose first run fails by its own fault; its second run would succeed. Checks the rule LOST:
 * `finish_s` after the end of the traffic no job has nothing running for 3 s while a task's turn has
 * come, the service is idle and there is capacity for the task.
 */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Deployment, sleep} from '../standins/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MINIONS = 3;
const JOBS = 60;
const JOBS_EVERY_MS = 50;
/** Every 20th job of the 3 s can never be done, a share of 0.05. */
const HOPELESS_EVERY = 20;
const FINISH_MS = 14_000;
/** The rule says 3 s; a wait that is longer shows that nothing happens later either. */
const WATCH_MS = 20_000;
const TASK_MS = 200;
const CAPACITY = {Cpu: 16_000, Gpu: 0, MemMb: 64_000};
const PREFIX = '/proof/';
const FINAL_STATES = ['completed', 'failed'];

function createJob(spec) {
  return {Phases: [{Count: 1, Cpu: 1_100, EstimateMs: TASK_MS, MemMb: 2_200}], Spec: spec};
}

/** How the runs of a task end, by its job's text: the first run of a repeated job's task fails. */
function createOutcome() {
  const failed = new Set();
  return (task, spec) => {
    const fails = spec === 'hopeless' || (spec === 'second run works' && !failed.has(task));
    failed.add(task);
    return fails ? 'failed' : 'done';
  };
}

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
let code = 2;
try {
  const outcome = createOutcome();
  const minions = Array.from({length: MINIONS}, (_, index) => ({
    capacity: CAPACITY,
    outcome,
    rack: `r${index % 2}`,
    taskMs: () => TASK_MS,
  }));
  const routes = [
    {
      MaxAttempts: 2,
      Name: 'proof',
      Prefix: PREFIX,
      Priority: 0,
      Stretch: 1.5,
      TargetDurationMs: 250,
    },
  ];
  if (await deployment.start({minions, routes})) {
    await sleep(2_000);
    const ids = [];
    const accepted = [];
    const submit = (spec) => {
      const id = (0xa0000 + ids.length).toString(16).padStart(16, '0');
      ids.push(id);
      accepted.push(deployment.submit(PREFIX, id, createJob(spec), ids.length));
    };
    for (let count = 1; count <= JOBS; count += 1) {
      submit(HAS_TROUBLE && count % HOPELESS_EVERY === 0 ? 'hopeless' : 'works');
      await sleep(JOBS_EVERY_MS);
    }
    await sleep(1_000);
    submit('second run works');
    const areAccepted = (await Promise.all(accepted)).every(Boolean);
    deployment.log({event: 'end of the traffic'});
    await sleep(FINISH_MS);
    const watchedFrom = deployment.now();
    await sleep(WATCH_MS);
    const states = await deployment.readStates(PREFIX, ids);
    const open = ids.filter((id) => !FINAL_STATES.includes(states.get(id)));
    const idle = deployment.listIdle(open, watchedFrom);
    for (const id of idle) {
      deployment.log({
        event: 'BROKEN: the job is open and nothing of it has run',
        forMs: WATCH_MS,
        job: id,
      });
    }
    const summary = {areAccepted, idle: idle.length, jobs: ids.length, open: open.length};
    deployment.log({event: 'summary', ...summary});
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    code = idle.length > 0 ? 1 : areAccepted && open.length === 0 ? 0 : 2;
  }
} finally {
  await deployment.close();
}
process.exit(code);
