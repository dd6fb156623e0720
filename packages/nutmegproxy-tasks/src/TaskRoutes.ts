/** The callers' routes of tasks: POST /tasks, GET /tasks/<job> and DELETE /tasks/<job>. */

import type {TaskSubmitAnswer} from '@nutmegproxy/schema';

import {validateJobSubmission} from '@nutmegproxy/schema';
import {randomUUID} from 'node:crypto';

import type {JobAnswer, JobRouter} from './JobRouter.ts';

import {parseJson} from './StoredUtils.ts';
import {RETRY_AFTER_SECONDS} from './TasksConstants.ts';

export const TASKS_PREFIX = '/tasks';

/** A caller's request with its whole body. */
export interface RouteRequest {
  readonly body: Buffer;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
}

export interface RouteAnswer {
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly status: number;
}

export type RouteHandler = (request: RouteRequest) => Promise<RouteAnswer>;

type MethodHandler = (router: JobRouter, request: RouteRequest) => Promise<RouteAnswer>;

const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 256;
const OUTCOME_HEADER = 'nutmegproxy-outcome';
const NOT_RUN = {[OUTCOME_HEADER]: 'not-run'};
const RETRY = {'retry-after': String(RETRY_AFTER_SECONDS)};

function answer(
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): RouteAnswer {
  return {
    body: JSON.stringify(body),
    headers: {'content-type': 'application/json', ...headers},
    status,
  };
}

const SUBMIT_ANSWERS: Record<
  TaskSubmitAnswer['kind'],
  (result: TaskSubmitAnswer, key: string) => RouteAnswer
> = {
  accepted: ({job}, key) =>
    answer(201, {job}, {[KEY_HEADER]: key, location: `${TASKS_PREFIX}/${job ?? ''}`}),
  exists: ({job}, key) =>
    answer(200, {job}, {[KEY_HEADER]: key, location: `${TASKS_PREFIX}/${job ?? ''}`}),
  impossible: ({reason}) => answer(422, {error: reason}, NOT_RUN),
  'not-accepted': ({reason}) => answer(503, {error: reason}, {...NOT_RUN, ...RETRY}),
  'not-owner': ({reason}) => answer(503, {error: reason}, {...NOT_RUN, ...RETRY}),
  // The key lets the caller ask again without making a second job.
  unknown: ({reason}, key) =>
    answer(
      503,
      {error: reason},
      {[KEY_HEADER]: key, [OUTCOME_HEADER]: 'outcome-unknown', ...RETRY},
    ),
};

const JOB_ANSWERS: Record<JobAnswer['kind'], (result: JobAnswer) => RouteAnswer> = {
  found: (result) => answer(200, result.kind === 'found' ? result.status : {}),
  missing: () => answer(404, {error: 'no such job'}),
  'not-accepted': () => answer(503, {error: "the job's owner is out of reach"}, RETRY),
};

async function submit(router: JobRouter, request: RouteRequest): Promise<RouteAnswer> {
  const submission = parseJson(request.body.toString(), validateJobSubmission);
  const header = request.headers[KEY_HEADER];
  const key = Array.isArray(header) ? header[0] : header;
  if (!submission || (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH))) {
    return answer(400, {error: 'the body or the idempotency key is malformed'}, NOT_RUN);
  }
  const usedKey = key ?? randomUUID();
  const result = await router.submit(submission, usedKey);
  return SUBMIT_ANSWERS[result.kind](result, usedKey);
}

function jobOf(request: RouteRequest): string {
  return request.path.slice(TASKS_PREFIX.length + 1);
}

async function read(router: JobRouter, request: RouteRequest): Promise<RouteAnswer> {
  const result = await router.read(jobOf(request));
  return JOB_ANSWERS[result.kind](result);
}

async function cancel(router: JobRouter, request: RouteRequest): Promise<RouteAnswer> {
  const result = await router.cancel(jobOf(request));
  return JOB_ANSWERS[result.kind](result);
}

const METHODS: Readonly<Record<string, MethodHandler | undefined>> = {
  DELETE: cancel,
  GET: read,
  POST: submit,
};

/**
 * Makes the handler of all paths under /tasks.
 *
 * @example
 * registerCallerRoute(TASKS_PREFIX, createTaskRoute(router));
 */
export function createTaskRoute(router: JobRouter): RouteHandler {
  return async (request) => {
    const handler = METHODS[request.method];
    return handler ? handler(router, request) : answer(405, {error: 'no such method'}, NOT_RUN);
  };
}
