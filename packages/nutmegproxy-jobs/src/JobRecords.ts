/** How jobs are laid out in the store: keys, and values as JSON. */

import type {JobId} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {StoredJob} from './JobModel.ts';
import type {JobProgress} from './JobProgress.ts';

/** What the owner of the fleet follows: the ownership, jobs and cancels. */
export const FLEET_PREFIX = 'nutmegproxy/fleet/';
/** What the owner writes and does not follow. */
export const STATE_PREFIX = 'nutmegproxy/state/';
/** Progress of jobs, by job. */
export const PROGRESS_PREFIX = 'nutmegproxy/progress/';

/** One part of a job's entry in the store. */
export type JobPart = 'cancel' | 'progress' | 'request';

const KEY_FORMATS: Readonly<Record<JobPart, (id: JobId) => string>> = {
  cancel: (id) => `${FLEET_PREFIX}jobs/${id}/cancel`,
  progress: (id) => `${PROGRESS_PREFIX}${id}`,
  request: (id) => `${FLEET_PREFIX}jobs/${id}/request`,
};
const JOB_KEY =
  /^nutmegproxy\/(?:fleet\/jobs\/([0-9a-f]{16})\/(cancel|request)|progress\/([0-9a-f]{16}))$/;

/**
 * Key of one part of a job.
 *
 * @example
 * jobKey(id, 'request'); // 'nutmegproxy/fleet/jobs/5c0e7a21d94b36f8/request'
 */
export function formatJobKey(id: JobId, part: JobPart): string {
  return KEY_FORMATS[part](id);
}

/** Prefix of a job's request and cancel. */
export function formatJobPrefix(id: JobId): string {
  return `${FLEET_PREFIX}jobs/${id}/`;
}

/** The job and part that a key stands for; undefined for keys of another kind. */
export function parseJobKey(key: string): undefined | {readonly id: JobId; readonly part: JobPart} {
  const match = JOB_KEY.exec(key);
  if (match === null) {
    return undefined;
  }
  const [, ofFleet, part, ofProgress = ''] = match;
  return ofFleet === undefined
    ? {id: brand<JobId>(ofProgress), part: 'progress'}
    : {id: brand<JobId>(ofFleet), part: part as JobPart};
}

export function encodeRecord(record: JobProgress | StoredJob): Buffer {
  return Buffer.from(JSON.stringify(record));
}

function decode(value: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(value.toString()));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

/** Reads a stored job. Only this program writes it, so its shape is checked by its marks alone. */
export function decodeJob(value: Buffer): Result<StoredJob, string> {
  return decode(value).andThen((record) =>
    isObject(record) && typeof record.id === 'string' && Array.isArray(record.steps)
      ? ok(record as unknown as StoredJob)
      : err('not a stored job'),
  );
}

/** Reads a job's progress. */
export function decodeProgress(value: Buffer): Result<JobProgress, string> {
  return decode(value).andThen((record) =>
    isObject(record) && typeof record.status === 'string' && isObject(record.steps)
      ? ok(record as unknown as JobProgress)
      : err('not the progress of a job'),
  );
}
