// A client's submission waits at a VM that stands still; the client withdraws it at another VM, which
// acknowledges the cancellation. The VM that wakes up must not have the job run all the same.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {runCase, sleep} from '../standins-2/deployment.mjs';

/** Length of the freeze: `node_freeze` has `for_s = 4.0` in the site file. */
const FREEZE_MS = 4_000;
/** The client's deadline, as the table of SYSTEM.md has it. */
const DEADLINE_MS = 3_000;
const CANCEL_MS = 3_000;
const STOP_TIMEOUT_MS = 900;
const STABLE_WINDOW_MS = 3_000;
/** How long the job is watched after the freeze. */
const WATCHED_MS = 16_000;
const folder = dirname(fileURLToPath(import.meta.url));

await runCase(folder, async (deployment, {hasTrouble}) => {
  await deployment.start({minions: 6, vms: 3});
  const owner = deployment.owner();
  const [frozen, other] = deployment.vms.filter((vm) => vm !== owner);
  deployment.log(`the owner is ${owner.name}, which is left alone`);
  const phase = {Count: 2, Cpu: 1000, LongRunning: true, MemMb: 256};
  const job = deployment.createJob('batch', [phase], {behave: () => ({ms: Infinity})});
  if (hasTrouble) {
    deployment.signal(frozen, 'SIGSTOP');
  }
  const frozenAt = deployment.now();
  await deployment.client(frozen, 'POST', job.path, {body: job.body, timeoutMs: DEADLINE_MS});
  const {status} = await deployment.client(other, 'DELETE', job.path);
  const cancelledAt = deployment.now();
  if (status !== 200 && status !== 410) {
    deployment.finish(folder, 2, `could not run: the DELETE was answered ${status}`);
  }
  await sleep(Math.max(0, FREEZE_MS - (deployment.now() - frozenAt)));
  if (hasTrouble) {
    deployment.signal(frozen, 'SIGCONT');
  }
  const calmAt = deployment.now();
  await sleep(WATCHED_MS);
  await deployment.client(other, 'GET', job.path);
  // A task of a cancelled job has to be gone after a calm stretch of this length.
  const goneAt = Math.max(cancelledAt, calmAt + STABLE_WINDOW_MS) + CANCEL_MS + STOP_TIMEOUT_MS;
  const late = deployment.runs.filter(({endedAt = Infinity}) => endedAt > goneAt);
  const text = `${deployment.runs.length} runs, ${late.length} of them still there ${(
    (deployment.now() - cancelledAt) /
    1000
  ).toFixed(1)} s after the cancellation was acknowledged with ${status}`;
  deployment.finish(folder, late.length > 0 ? 1 : 0, text);
});
