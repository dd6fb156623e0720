/** Callers that submit jobs with idempotency keys and retry through another VM after an unknown outcome. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {request} from 'undici';

import type {AcceptedJob} from './History.ts';
import type {TestCluster} from './TestCluster.ts';
import type {TestEntry} from './TestEntry.ts';

import {pick} from './TestCluster.ts';

const CALL_TIMEOUT_MS = 20_000;
/** Attempts per submission; one whose outcome stays unknown counts as not accepted. */
const MAX_ATTEMPTS = 30;
const RETRY_PAUSE_MS = 250;

interface TaskResponse {
  readonly body: {
    readonly counts?: Readonly<Record<string, number>>;
    readonly job?: string;
    readonly tasks?: readonly {readonly task: string}[];
  };
  readonly status: number;
}

async function call(
  entry: TestEntry,
  method: 'DELETE' | 'GET' | 'POST',
  path: string,
  options: {readonly body?: string; readonly headers?: Record<string, string>} = {},
): Promise<TaskResponse | undefined> {
  try {
    const response = await request(`${entry.callerUrl}${path}`, {
      ...options,
      bodyTimeout: CALL_TIMEOUT_MS,
      headersTimeout: CALL_TIMEOUT_MS,
      method,
      reset: true,
    });
    const body = (await response.body.json()) as TaskResponse['body'];
    return {body, status: response.statusCode};
  } catch {
    return undefined;
  }
}

/** Submits and cancels the jobs of a run; every accepted job must end. */
export class JobWorkload {
  readonly #accepted = new Map<string, AcceptedJob>();
  cancelled = 0;
  readonly #cluster: TestCluster;
  submitted = 0;
  retries = 0;

  constructor(cluster: TestCluster) {
    this.#cluster = cluster;
  }

  get accepted(): number {
    return this.#accepted.size;
  }

  /** Polls the jobs that are not known to have ended; returns whether all have. */
  async haveAllEnded(): Promise<boolean> {
    const open = [...this.#accepted.values()].filter(({ended}) => !ended);
    await Promise.all(
      open.map(async (job) => {
        for (const entry of this.#cluster.entries) {
          const response = await call(entry, 'GET', `/tasks/${job.job}`);
          if (response?.status === 200 && response.body.counts !== undefined) {
            const states = Object.entries(response.body.counts).filter(([, count]) => count > 0);
            job.ended = states.every(([state]) => state === 'ended');
            return;
          }
        }
      }),
    );
    return open.every(({ended}) => ended);
  }

  /** Adds the accepted jobs to the history. */
  recordJobs(): void {
    this.#cluster.recorder.add('jobs', ...this.#accepted.values());
  }

  /** Submits jobs, and cancels some, until `isOver`. */
  async run(random: RandomGenerator, name: string, isOver: () => boolean): Promise<void> {
    for (let index = 1; !isOver(); index += 1) {
      const entry = pick(random, ['digest', 'digest', 'retouch', 'urgent']);
      const count = uniformInt(random, 1, entry === 'urgent' ? 2 : 6);
      const workMs = uniformInt(random, 100, entry === 'urgent' ? 400 : 1_200);
      const cancels = uniformInt(random, 0, 5) === 0;
      const body = JSON.stringify({count, entry, input: JSON.stringify({cpu: 1, workMs})});
      const job = await this.#submit(random, `${name}-${index}`, body, isOver);
      await sleep(uniformInt(random, 150, 500));
      if (job !== undefined && cancels) {
        await this.#cancel(pick(random, this.#cluster.entries), job);
      }
    }
  }

  async #cancel(entry: TestEntry, job: string): Promise<void> {
    const {recorder} = this.#cluster;
    // Recorded before the call, since a cancellation may take effect although its response is lost.
    const shown = await call(entry, 'GET', `/tasks/${job}`);
    recorder.add('cancelledTasks', ...(shown?.body.tasks ?? []).map(({task}) => task));
    const response =
      shown?.status === 200 ? await call(entry, 'DELETE', `/tasks/${job}`) : undefined;
    this.cancelled += response?.status === 200 ? 1 : 0;
  }

  async #submit(
    random: RandomGenerator,
    key: string,
    body: string,
    isOver: () => boolean,
  ): Promise<string | undefined> {
    const headers = {'content-type': 'application/json', 'idempotency-key': key};
    this.submitted += 1;
    // Some accepted jobs are submitted again, which must not create a second job.
    const repeats = uniformInt(random, 0, 4) === 0;
    let job: string | undefined;
    for (let tries = 0; tries < MAX_ATTEMPTS && !isOver(); tries += 1) {
      const response = await call(pick(random, this.#cluster.entries), 'POST', '/tasks', {
        body,
        headers,
      });
      const accepted = response?.status === 200 || response?.status === 201;
      if (accepted && response.body.job !== undefined) {
        this.#accept(key, response.body.job);
        if (!repeats || job !== undefined) {
          return response.body.job;
        }
        job = response.body.job;
      } else {
        this.retries += 1;
      }
      await sleep(RETRY_PAUSE_MS);
    }
    return job;
  }

  #accept(key: string, job: string): void {
    const name = `${key} ${job}`;
    if (!this.#accepted.has(name)) {
      this.#accepted.set(name, {at: Date.now(), ended: false, job, key});
    }
  }
}
