/**
 * One minion of seven, the only one of its kind, runs a task that lasts. It fails all that it starts for
 * 6.5 s and is sound again. Checks the rule LOST for jobs that come after that and need this kind:
 * `finish_s` after the end of the traffic none is open with nothing running for 3 s, while the service is
 * idle and there is room.
 */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Deployment, sleep} from '../standins/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** One of seven is a share of 0.143. */
const MINIONS = 7;
const FAILING_MS = 6_500;
const JOBS = 6;
const JOBS_EVERY_MS = 1_000;
const FINISH_MS = 14_000;
/** The rule says 3 s; the longer wait shows that nothing happens later either. */
const WATCH_MS = 20_000;
const TASK_MS = 640;
const CAPACITY = {Cpu: 16_000, Gpu: 0, MemMb: 64_000};
const PREFIX = '/proof/';
const JOB = {
  Phases: [{Count: 1, Cpu: 1_100, EstimateMs: TASK_MS, MemMb: 2_200, Requirements: 'fast'}],
  Spec: 'proof',
};
const LASTING_ID = '000000000001a575';
const LASTING_JOB = {
  Phases: [{Count: 1, Cpu: 3_200, LongRunning: true, MemMb: 6_400, Requirements: 'fast'}],
  Spec: 'lasts',
};
const LATER_JOBS = 3;
const FINAL_STATES = ['completed', 'failed'];

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)));
let code = 2;
try {
  const minions = Array.from({length: MINIONS}, (_, index) => ({
    capacity: CAPACITY,
    kind: index === 0 ? 'fast' : 'plain',
    rack: `r${index % 2}`,
    taskMs: (_task, spec) => (spec === 'lasts' ? Infinity : TASK_MS),
  }));
  const routes = [
    {
      MaxAttempts: 2,
      Name: 'catalogo',
      Prefix: '/catalogo/',
      Priority: 0,
      Stretch: 2.2,
      TargetDurationMs: 2_500,
    },
    {
      MaxAttempts: 3,
      Name: 'proof',
      Prefix: PREFIX,
      Priority: 0,
      Stretch: 1.5,
      TargetDurationMs: 250,
    },
  ];
  if (await deployment.start({minions, routes})) {
    await sleep(2_000);
    const [fast] = deployment.minions;
    const ids = [];
    const accepted = [await deployment.submit('/catalogo/', LASTING_ID, LASTING_JOB)];
    await sleep(3_000);
    const submit = async () => {
      const id = (0xa0000 + accepted.length).toString(16).padStart(16, '0');
      accepted.push(await deployment.submit(PREFIX, id, JOB, accepted.length));
      return id;
    };
    fast.failsAll = HAS_TROUBLE;
    const recovers = sleep(FAILING_MS).then(() => {
      fast.failsAll = false;
      deployment.log({event: 'minion is sound', minion: fast.id});
    });
    for (let index = 0; index < JOBS; index += 1) {
      await submit();
      await sleep(JOBS_EVERY_MS);
    }
    await recovers;
    for (let index = 0; index < LATER_JOBS; index += 1) {
      await sleep(JOBS_EVERY_MS);
      ids.push(await submit());
    }
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
    const failedEnds = deployment.events.filter(({event}) => event === 'failed').length;
    const summary = {failedEnds, idle: idle.length, jobs: ids.length, open: open.length};
    deployment.log({event: 'summary', ...summary});
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    code = idle.length > 0 ? 1 : accepted.every(Boolean) && open.length === 0 ? 0 : 2;
  }
} finally {
  await deployment.close();
}
process.exit(code);
