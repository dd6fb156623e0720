/**
 * Jobs of many short tasks run while the store is down. Results can't be acknowledged then, and a
 * minion lists at most 500 of them. Checks the rule TWICE: no start of a task after a run of it has
 * ended as done, if that end is acknowledged then or later.
 */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Deployment, sleep, until} from '../standins/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const OUTAGE_MS = 4_500;
const JOBS = 16;
const TASKS = 250;
const TASK_MS = 300;
const CAPACITY = {Cpu: 16_000, Gpu: 0, MemMb: 64_000};
const PREFIX = '/digest/';

/** Lists starts that follow an end as done of the same task that is acknowledged then or later. */
function findSecondRuns(events) {
  const acked = new Set();
  for (const {event, life, minion, run, task} of events) {
    if (event === 'acked') {
      acked.add(`${minion} ${life} ${task} ${run}`);
    }
  }
  const doneAt = new Map();
  const found = [];
  for (const {event, life, minion, ms, run, task} of events) {
    if (event === 'done' && acked.has(`${minion} ${life} ${task} ${run}`)) {
      doneAt.set(task, doneAt.get(task) ?? {minion, ms, run});
    } else if (event === 'started' && doneAt.has(task)) {
      found.push({done: doneAt.get(task), minion, ms, run, task});
    }
  }
  return found;
}

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
let code = 2;
try {
  const minions = ['r1', 'r1', 'r2'].map((rack) => ({
    capacity: CAPACITY,
    rack,
    taskMs: () => TASK_MS,
  }));
  const routes = [
    {
      MaxAttempts: 3,
      Name: 'digest',
      Prefix: PREFIX,
      Priority: 2,
      Stretch: 2,
      TargetDurationMs: 1_000,
    },
  ];
  if (await deployment.start({minions, routes})) {
    await sleep(2_000);
    const ids = Array.from({length: JOBS}, (_, index) =>
      (0xd0000 + index).toString(16).padStart(16, '0'),
    );
    const job = {
      Phases: [{Count: TASKS, Cpu: 160, EstimateMs: TASK_MS, MemMb: 128}],
      Spec: 'digest',
    };
    const accepted = await Promise.all(
      ids.map((id, index) => deployment.submit(PREFIX, id, job, index)),
    );
    await sleep(500);
    if (HAS_TROUBLE) {
      deployment.log({event: 'store down'});
      deployment.store.setDown('busy');
      await sleep(OUTAGE_MS);
      deployment.store.setDown('no');
      deployment.log({event: 'store up'});
    }
    const states = new Map();
    const isOver = await until(async () => {
      for (const id of ids) {
        const {body, status} = await deployment.call(deployment.vms[0], 'GET', `${PREFIX}${id}`);
        states.set(id, status === 200 ? body.State : status);
      }
      return [...states.values()].every((state) => state === 'completed');
    }, 60_000);
    await sleep(1_000);
    const second = findSecondRuns(deployment.events);
    const starts = deployment.events.filter(({event}) => event === 'started').length;
    for (const each of second.slice(0, 20)) {
      deployment.log({event: 'BROKEN: start after an acknowledged end as done', ...each});
    }
    const summary = {
      accepted: accepted.filter(Boolean).length,
      isOver,
      secondRuns: second.length,
      starts,
      tasks: JOBS * TASKS,
    };
    deployment.log({event: 'summary', ...summary});
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    code = second.length > 0 ? 1 : accepted.every(Boolean) && isOver ? 0 : 2;
  }
} finally {
  await deployment.close();
}
process.exit(code);
