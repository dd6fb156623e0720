/** Compares the baseline task policies with the learned ones on real processes. */

import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

import type {AcceptedJob, RunRecord, TaskFigures} from './TaskFigures.ts';
import type {PolicyNames} from './TaskPlatform.ts';
import type {PlannedJob} from './TaskWorkload.ts';

import {measureRun} from './TaskFigures.ts';
import {TaskPlatform} from './TaskPlatform.ts';
import {ARRIVAL_PERIOD_MS, planJobs} from './TaskWorkload.ts';

const BASELINE: PolicyNames = {laneOrder: 'first-come', placement: 'first-fit'};
const LEARNED: PolicyNames = {laneOrder: 'fair', placement: 'learned'};
/** Time after the last arrival in which tasks may still start and complete. */
const COMPLETION_PERIOD_MS = 3000;
const RETRY_MS = 200;
const FAILING_WORKER = 'worker-4';
const WORKER_FAILURE_AT_MS = 2000;

/** Options of the task experiment. */
export interface TaskOptions {
  /** Whether to run the baseline policies as well. */
  readonly baseline: boolean;
  readonly json: boolean;
  readonly seed: number;
  readonly seeds: number;
}

type Submission = 'impossible' | 'unaccepted' | AcceptedJob;

async function post(callerUrl: string, job: PlannedJob, key: string) {
  const {count, entry, input} = job;
  const response = await request(`${callerUrl}/tasks`, {
    body: JSON.stringify({count, entry, input}),
    headers: {'content-type': 'application/json', 'idempotency-key': key},
    method: 'POST',
  });
  return {body: (await response.body.json()) as {job?: string}, status: response.statusCode};
}

/** One run with one seed and one pair of policies. */
class TaskRun {
  readonly #endsAt: number;
  readonly #platform: TaskPlatform;
  readonly #startedAt = Date.now();

  constructor(platform: TaskPlatform) {
    this.#platform = platform;
    this.#endsAt = this.#startedAt + ARRIVAL_PERIOD_MS + COMPLETION_PERIOD_MS;
  }

  async run(seed: number): Promise<RunRecord> {
    const failing = this.#failWorker();
    const submissions = await Promise.all(
      planJobs(seed).map((job, index) => this.#submit(job, index)),
    );
    await failing;
    await sleep(Math.max(0, this.#endsAt - Date.now()));
    const endedAt = Date.now();
    const attempts = [...this.#platform.workers.values()].flatMap(({model}) => [...model.history]);
    return {
      accepted: submissions.filter((each) => typeof each !== 'string'),
      attempts,
      endedAt,
      impossible: submissions.filter((each) => each === 'impossible').length,
      startedAt: this.#startedAt,
      unaccepted: submissions.filter((each) => each === 'unaccepted').length,
    };
  }

  async #cancel(callerUrl: string, id: string, atMs: number): Promise<void> {
    await sleep(Math.max(0, this.#startedAt + atMs - Date.now()));
    const response = await request(`${callerUrl}/tasks/${id}`, {method: 'DELETE'});
    await response.body.dump();
  }

  async #failWorker(): Promise<void> {
    await sleep(WORKER_FAILURE_AT_MS);
    this.#platform.workers.get(FAILING_WORKER)?.control({failEverything: true});
  }

  async #submit(job: PlannedJob, index: number): Promise<Submission> {
    const {callerUrls} = this.#platform;
    const url = callerUrls[index % callerUrls.length] ?? '';
    await sleep(Math.max(0, this.#startedAt + job.atMs - Date.now()));
    const submittedAt = Date.now();
    const key = randomUUID();
    while (Date.now() < this.#endsAt) {
      const {body, status} = await post(url, job, key);
      if (status === 422) {
        return 'impossible';
      }
      if (status < 300 && body.job !== undefined) {
        if (job.cancelAtMs !== undefined) {
          await this.#cancel(url, body.job, job.cancelAtMs);
        }
        const cancelled = job.cancelAtMs !== undefined;
        return {cancelled, count: job.count, entry: job.entry, id: body.job, submittedAt};
      }
      await sleep(RETRY_MS);
    }
    return 'unaccepted';
  }
}

async function measure(policies: PolicyNames, seed: number): Promise<TaskFigures> {
  const platform = new TaskPlatform();
  try {
    await platform.start(policies);
    return measureRun(await new TaskRun(platform).run(seed));
  } finally {
    await platform.close();
  }
}

/** Runs each seed with each pair of policies, one run at a time, and prints the results. */
export async function runTasks({baseline, json, seed, seeds}: TaskOptions): Promise<void> {
  const compared = baseline ? [BASELINE, LEARNED] : [LEARNED];
  const rows: (TaskFigures & {policy: string; seed: number})[] = [];
  for (let each = seed; each < seed + seeds; each += 1) {
    for (const policies of compared) {
      const policy = `${policies.placement}+${policies.laneOrder}`;
      rows.push({policy, seed: each, ...(await measure(policies, each))});
    }
  }
  if (json) {
    console.log(JSON.stringify({rows}));
  } else {
    console.table(rows);
  }
}
