/** The steps that the demo shows, each with what must hold afterwards. */

import {request} from 'undici';

import type {DemoPlatform} from './DemoPlatform.ts';
import type {EntryChild} from './EntryChild.ts';

import {DIGEST_TASKS, SLOW_REQUEST_MS} from './DemoConstants.ts';
import {expect, tell, waitFor} from './DemoUtils.ts';
import {operate} from './Operator.ts';

/** What every step works with. */
export interface DemoScene {
  readonly entries: readonly [EntryChild, EntryChild, EntryChild];
  readonly environment: NodeJS.ProcessEnv;
  readonly platform: DemoPlatform;
}

interface CallerAnswer {
  readonly body: string;
  readonly outcome: string | undefined;
  readonly status: number;
}

interface TaskView {
  readonly state: string;
  readonly task: string;
}

interface JobView {
  readonly counts: Readonly<Record<string, number>>;
  readonly tasks: readonly TaskView[];
}

async function post(
  url: string,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerAnswer> {
  const answer = await request(url, {body, headers, method: 'POST', reset: true});
  const outcome = answer.headers['nutmegproxy-outcome'];
  return {
    body: await answer.body.text(),
    outcome: Array.isArray(outcome) ? outcome[0] : outcome,
    status: answer.statusCode,
  };
}

function show({body, outcome, status}: CallerAnswer): string {
  return `${status} ${outcome ?? 'answered by the minion'}, ${body.length} bytes`;
}

function countKey({platform}: DemoScene, key: string): number {
  const histories = [...platform.minions.values()].flatMap(({history}) => [...history]);
  return histories.filter(({idempotencyKey}) => idempotencyKey === key).length;
}

/** Applies the catalogue and waits until every entry VM is ready. */
export async function applyCatalogue(scene: DemoScene, path: string): Promise<void> {
  await operate(['catalogue', 'apply', path, '--revision', '0'], scene.environment);
  for (const {callers, vm} of scene.entries) {
    await waitFor(`${vm} is ready`, async () => {
      const answer = await request(`${callers}/health/ready`, {reset: true});
      await answer.body.dump();
      return answer.statusCode === 200 ? true : undefined;
    });
  }
  tell('all entry VMs are ready');
}

export async function sendRequest({entries}: DemoScene): Promise<void> {
  const answer = await waitFor('an alert is answered', async () => {
    const sent = await post(`${entries[0].callers}/entries/alert/send`, 'credit call 7');
    return sent.status === 200 ? sent : undefined;
  });
  tell(`alert through ${entries[0].vm}: ${show(answer)}`);
}

/** The second try goes through another entry VM, as a balancer would send it. */
export async function sendTwice(scene: DemoScene): Promise<void> {
  const headers = {'idempotency-key': 'alert-huehuetenango-1'};
  for (const {callers, vm} of scene.entries.slice(0, 2)) {
    const answer = await post(`${callers}/entries/alert/send`, 'credit call 8', headers);
    tell(`keyed alert through ${vm}: ${show(answer)}`);
  }
  const runs = countKey(scene, headers['idempotency-key']);
  tell(`the minions ran it ${runs} time`);
  expect(runs === 1, 'a keyed alert runs once');
}

async function runJob({entries}: DemoScene, entry: string, count: number): Promise<JobView> {
  const body = JSON.stringify({count, entry, input: JSON.stringify({workMs: 200})});
  const url = `${entries[0].callers}/tasks`;
  const job = await waitFor('a job is accepted', async () => {
    const answer = await post(url, body, {'content-type': 'application/json'});
    const {job: id} = JSON.parse(answer.body) as {job?: string};
    return id;
  });
  tell(`job ${job}: ${count} tasks of ${entry}`);
  return waitFor('the job ends', async () => {
    const answer = await request(`${url}/${job}`, {reset: true});
    const view = (await answer.body.json()) as JobView;
    const ended = view.tasks.filter(({state}) => state === 'ended').length;
    return ended === count ? view : undefined;
  });
}

export async function runDigests(scene: DemoScene): Promise<void> {
  const {counts} = await runJob(scene, 'digest', DIGEST_TASKS);
  tell(`all tasks have ended: ${JSON.stringify(counts)}`);
}

/** A drained worker gets no new work. */
export async function drainWorker(scene: DemoScene, worker: string): Promise<void> {
  await operate(['drain', 'worker', worker, '--reason', 'demo'], scene.environment);
  await runJob(scene, 'retouch', 2);
  const used = [...scene.platform.workers]
    .filter(([, {model}]) => model.history.some(({entry}) => entry === 'retouch'))
    .map(([id]) => id);
  tell(`retouches ran on ${used.join(', ')}`);
  expect(!used.includes(worker), 'a drained worker runs nothing new');
  await operate(['undrain', 'worker', worker], scene.environment);
}

/** A request that is under way when its entry VM is stopped gets its whole answer. */
export async function stopEntry(scene: DemoScene): Promise<void> {
  const [, entry] = scene.entries;
  for (const minion of scene.platform.minions.values()) {
    minion.control({serviceMs: SLOW_REQUEST_MS});
  }
  const slow = post(`${entry.callers}/entries/proof/frame-1`, 'frame');
  await operate(['stop', entry.vm], scene.environment);
  const answer = await slow;
  tell(`slow proof through ${entry.vm}, which is stopping: ${show(answer)}`);
  expect(answer.status === 200, 'a planned stop cuts off no request');
  const code = await entry.exited;
  tell(`${entry.vm} has ended with ${code}`);
  expect(code === 0, 'a planned stop ends with 0');
}
