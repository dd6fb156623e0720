/** HTTP routes of tasks for callers: POST /tasks, GET /tasks/<job> and DELETE /tasks/<job>. */

import type {TaskSubmitAnswer} from '@nutmegproxy/schema';

import {validateJobSubmission} from '@nutmegproxy/schema';
import {randomUUID} from 'node:crypto';

import type {JobResponse, JobRouter} from './JobRouter.ts';

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

export interface RouteResponse {
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly status: number;
}

export type RouteHandler = (request: RouteRequest) => Promise<RouteResponse>;

type MethodHandler = (router: JobRouter, request: RouteRequest) => Promise<RouteResponse>;

const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 256;
const OUTCOME_HEADER = 'nutmegproxy-outcome';
const NOT_RUN = {[OUTCOME_HEADER]: 'not-run'};
const RETRY = {'retry-after': String(RETRY_AFTER_SECONDS)};

function createResponse(
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): RouteResponse {
  return {
    body: JSON.stringify(body),
    headers: {'content-type': 'application/json', ...headers},
    status,
  };
}

const SUBMIT_RESPONSES: Record<
  TaskSubmitAnswer['kind'],
  (result: TaskSubmitAnswer, key: string) => RouteResponse
> = {
  accepted: ({job}, key) =>
    createResponse(201, {job}, {[KEY_HEADER]: key, location: `${TASKS_PREFIX}/${job ?? ''}`}),
  exists: ({job}, key) =>
    createResponse(200, {job}, {[KEY_HEADER]: key, location: `${TASKS_PREFIX}/${job ?? ''}`}),
  impossible: ({reason}) => createResponse(422, {error: reason}, NOT_RUN),
  'not-accepted': ({reason}) => createResponse(503, {error: reason}, {...NOT_RUN, ...RETRY}),
  'not-owner': ({reason}) => createResponse(503, {error: reason}, {...NOT_RUN, ...RETRY}),
  // With the key, the caller can retry without creating a second job.
  unknown: ({reason}, key) =>
    createResponse(
      503,
      {error: reason},
      {[KEY_HEADER]: key, [OUTCOME_HEADER]: 'outcome-unknown', ...RETRY},
    ),
};

const JOB_RESPONSES: Record<JobResponse['kind'], (result: JobResponse) => RouteResponse> = {
  found: (result) => createResponse(200, result.kind === 'found' ? result.status : {}),
  missing: () => createResponse(404, {error: 'no such job'}),
  'not-accepted': () => createResponse(503, {error: "the job's owner is out of reach"}, RETRY),
};

async function submit(router: JobRouter, request: RouteRequest): Promise<RouteResponse> {
  const submission = parseJson(request.body.toString(), validateJobSubmission);
  const header = request.headers[KEY_HEADER];
  const key = Array.isArray(header) ? header[0] : header;
  if (!submission || (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH))) {
    return createResponse(400, {error: 'the body or the idempotency key is malformed'}, NOT_RUN);
  }
  const usedKey = key ?? randomUUID();
  const result = await router.submit(submission, usedKey);
  return SUBMIT_RESPONSES[result.kind](result, usedKey);
}

function getJobId(request: RouteRequest): string {
  return request.path.slice(TASKS_PREFIX.length + 1);
}

async function read(router: JobRouter, request: RouteRequest): Promise<RouteResponse> {
  const result = await router.read(getJobId(request));
  return JOB_RESPONSES[result.kind](result);
}

async function cancel(router: JobRouter, request: RouteRequest): Promise<RouteResponse> {
  const result = await router.cancel(getJobId(request));
  return JOB_RESPONSES[result.kind](result);
}

const METHODS: Readonly<Record<string, MethodHandler | undefined>> = {
  DELETE: cancel,
  GET: read,
  POST: submit,
};

/**
 * Creates the handler for all paths under /tasks.
 *
 * @example
 * registerCallerRoute(TASKS_PREFIX, createTaskRoute(router));
 */
export function createTaskRoute(router: JobRouter): RouteHandler {
  return async (request) => {
    const handler = METHODS[request.method];
    return handler
      ? handler(router, request)
      : createResponse(405, {error: 'no such method'}, NOT_RUN);
  };
}
