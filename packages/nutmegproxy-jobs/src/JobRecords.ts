/** How jobs are laid out in the store: keys, and values as JSON. */

import type {JobId} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {StoredJob} from './JobModel.ts';
import type {JobProgress} from './JobProgress.ts';

/** Everything that the owner of the fleet follows. */
export const FLEET_PREFIX = 'nutmegproxy/';
const JOBS_PREFIX = `${FLEET_PREFIX}jobs/`;

/** One part of a job's entry in the store. */
export type JobPart = 'cancel' | 'progress' | 'request';

const JOB_KEY = /^nutmegproxy\/jobs\/([0-9a-f]{16})\/(cancel|progress|request)$/;

/**
 * Key of one part of a job.
 *
 * @example
 * jobKey(id, 'request'); // 'nutmegproxy/jobs/5c0e7a21d94b36f8/request'
 */
export function jobKey(id: JobId, part: JobPart): string {
  return `${jobPrefix(id)}${part}`;
}

/** Prefix of all parts of a job. */
export function jobPrefix(id: JobId): string {
  return `${JOBS_PREFIX}${id}/`;
}

/** The job and part that a key stands for; undefined for keys of another kind. */
export function parseJobKey(key: string): undefined | {readonly id: JobId; readonly part: JobPart} {
  const match = JOB_KEY.exec(key);
  return match === null
    ? undefined
    : {id: brand<JobId>(match[1] ?? ''), part: match[2] as JobPart};
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
