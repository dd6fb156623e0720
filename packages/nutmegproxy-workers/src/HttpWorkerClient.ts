/** HTTP client of the workers. */

import type {TaskStart, WorkerReport, WorkerSync} from '@nutmegproxy/schema';
import type {Result, ResultAsync} from 'neverthrow';

import {validateStartResults, validateWorkerReport} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';
import {Agent} from 'undici';

import type {PlatformFailure} from './VmList.ts';
import type {StartOutcome, WorkerClient} from './WorkerClient.ts';

import {callPlatform} from './PlatformCall.ts';
import {
  CONNECT_TIMEOUT_MS,
  CONNECTIONS_PER_WORKER,
  WORKER_TIMEOUT_MS,
} from './PlatformConstants.ts';

/** Reports a malformed response as `unknown`, since the worker may have started tasks. */
function treatMalformedAsUnknown(failure: PlatformFailure): PlatformFailure {
  return failure.kind === 'malformed' ? {...failure, kind: 'unknown'} : failure;
}

function matchResults(
  starts: readonly TaskStart[],
  results: readonly StartOutcome[],
): Result<readonly StartOutcome[], PlatformFailure> {
  const answered = new Set(results.map(({attempt}) => attempt));
  return starts.every(({attempt}) => answered.has(attempt))
    ? ok(results)
    : err({kind: 'unknown', message: 'the response lacks the result of a start'});
}

/**
 * Calls `POST /v1/start` and `POST /v1/sync` of workers.
 *
 * @example
 * const report = await client.sync('10.0.0.9:7000', {renew: ['attempt-1'], leaseMs: 15_000});
 */
export class HttpWorkerClient implements WorkerClient {
  readonly #agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections: CONNECTIONS_PER_WORKER,
    pipelining: 1,
  });
  readonly #timeoutMs: number;

  constructor(timeoutMs = WORKER_TIMEOUT_MS) {
    this.#timeoutMs = timeoutMs;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  start(
    address: string,
    starts: readonly TaskStart[],
  ): ResultAsync<readonly StartOutcome[], PlatformFailure> {
    return callPlatform(this.#agent, {
      body: JSON.stringify(starts),
      method: 'POST',
      origin: `http://${address}`,
      path: '/v1/start',
      timeoutMs: this.#timeoutMs,
      validate: validateStartResults,
    })
      .mapErr(treatMalformedAsUnknown)
      .andThen((results) => matchResults(starts, results));
  }

  sync(address: string, sync: WorkerSync): ResultAsync<WorkerReport, PlatformFailure> {
    return callPlatform(this.#agent, {
      body: JSON.stringify(sync),
      method: 'POST',
      origin: `http://${address}`,
      path: '/v1/sync',
      timeoutMs: this.#timeoutMs,
      validate: validateWorkerReport,
    });
  }
}
