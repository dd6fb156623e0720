/** The steps of the demo, each with checks of its result. */

import {request} from 'undici';

import type {DemoPlatform} from './DemoPlatform.ts';
import type {EntryChild} from './EntryChild.ts';

import {DIGEST_TASKS, SLOW_REQUEST_MS} from './DemoConstants.ts';
import {expect, printLine, waitFor} from './DemoUtils.ts';
import {runOperatorCommand} from './OperatorCommand.ts';

/** Context of the demo steps. */
export interface DemoContext {
  readonly entries: readonly [EntryChild, EntryChild, EntryChild];
  readonly environment: NodeJS.ProcessEnv;
  readonly platform: DemoPlatform;
}

interface CallerResponse {
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
): Promise<CallerResponse> {
  const response = await request(url, {body, headers, method: 'POST', reset: true});
  const outcome = response.headers['nutmegproxy-outcome'];
  return {
    body: await response.body.text(),
    outcome: Array.isArray(outcome) ? outcome[0] : outcome,
    status: response.statusCode,
  };
}

function formatResponse({body, outcome, status}: CallerResponse): string {
  return `${status} ${outcome ?? 'answered by the minion'}, ${body.length} bytes`;
}

function countRuns({platform}: DemoContext, key: string): number {
  const histories = [...platform.minions.values()].flatMap(({history}) => [...history]);
  return histories.filter(({idempotencyKey}) => idempotencyKey === key).length;
}

/** Applies the catalogue and waits until every entry VM is ready. */
export async function applyCatalogue(context: DemoContext, path: string): Promise<void> {
  await runOperatorCommand(['catalogue', 'apply', path, '--revision', '0'], context.environment);
  for (const {callerUrl: callerUrl, vm} of context.entries) {
    await waitFor(`${vm} is ready`, async () => {
      const response = await request(`${callerUrl}/health/ready`, {reset: true});
      await response.body.dump();
      return response.statusCode === 200 ? true : undefined;
    });
  }
  printLine('all entry VMs are ready');
}

export async function sendRequest({entries}: DemoContext): Promise<void> {
  const response = await waitFor('an alert succeeds', async () => {
    const sent = await post(`${entries[0].callerUrl}/entries/alert/send`, 'credit call 7');
    return sent.status === 200 ? sent : undefined;
  });
  printLine(`alert through ${entries[0].vm}: ${formatResponse(response)}`);
}

/** Sends a request twice with one idempotency key, through two entry VMs, as a retry may go. */
export async function sendWithSameKey(context: DemoContext): Promise<void> {
  const headers = {'idempotency-key': 'alert-huehuetenango-1'};
  for (const {callerUrl: callerUrl, vm} of context.entries.slice(0, 2)) {
    const response = await post(`${callerUrl}/entries/alert/send`, 'credit call 8', headers);
    printLine(`keyed alert through ${vm}: ${formatResponse(response)}`);
  }
  const runs = countRuns(context, headers['idempotency-key']);
  printLine(`runs at the minions: ${runs}`);
  expect(runs === 1, 'a request with an idempotency key runs once');
}

async function runJob({entries}: DemoContext, entry: string, count: number): Promise<JobView> {
  const body = JSON.stringify({count, entry, input: JSON.stringify({workMs: 200})});
  const url = `${entries[0].callerUrl}/tasks`;
  const job = await waitFor('a job is accepted', async () => {
    const response = await post(url, body, {'content-type': 'application/json'});
    const {job: id} = JSON.parse(response.body) as {job?: string};
    return id;
  });
  printLine(`job ${job}: ${count} tasks of ${entry}`);
  return waitFor('the job completes', async () => {
    const response = await request(`${url}/${job}`, {reset: true});
    const view = (await response.body.json()) as JobView;
    const ended = view.tasks.filter(({state}) => state === 'ended').length;
    return ended === count ? view : undefined;
  });
}

export async function runDigests(context: DemoContext): Promise<void> {
  const {counts} = await runJob(context, 'digest', DIGEST_TASKS);
  printLine(`all tasks completed: ${JSON.stringify(counts)}`);
}

/** Drains a worker and checks that it receives no new tasks. */
export async function drainWorker(context: DemoContext, worker: string): Promise<void> {
  await runOperatorCommand(['drain', 'worker', worker, '--reason', 'demo'], context.environment);
  await runJob(context, 'retouch', 2);
  const used = [...context.platform.workers]
    .filter(([, {model}]) => model.history.some(({entry}) => entry === 'retouch'))
    .map(([id]) => id);
  printLine(`retouches ran on ${used.join(', ')}`);
  expect(!used.includes(worker), 'a drained worker starts no new tasks');
  await runOperatorCommand(['undrain', 'worker', worker], context.environment);
}

/** Stops an entry VM and checks that a request in progress still gets its complete response. */
export async function stopEntry(context: DemoContext): Promise<void> {
  const [, entry] = context.entries;
  for (const minion of context.platform.minions.values()) {
    minion.control({serviceMs: SLOW_REQUEST_MS});
  }
  const pendingResponse = post(`${entry.callerUrl}/entries/proof/frame-1`, 'frame');
  await runOperatorCommand(['stop', entry.vm], context.environment);
  const response = await pendingResponse;
  printLine(`slow proof through ${entry.vm}, which is stopping: ${formatResponse(response)}`);
  expect(response.status === 200, 'a planned stop completes requests in progress');
  const code = await entry.exited;
  printLine(`${entry.vm} exited with code ${code}`);
  expect(code === 0, 'a planned stop exits with code 0');
}
