/** Keys and JSON values of the jobs in the store. */

import type {JobId} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {CellIndex} from './CellKeys.ts';
import type {StoredJob} from './JobModel.ts';
import type {JobProgress} from './JobProgress.ts';

import {FIRST_CELL, formatFleetPrefix, formatProgressPrefix, MAX_CELLS} from './CellKeys.ts';

/** A part of a job that has its own key. */
export type JobPart = 'cancel' | 'progress' | 'request';

const KEY_FORMATS: Readonly<Record<JobPart, (id: JobId, cell: CellIndex) => string>> = {
  cancel: (id, cell) => `${formatJobPrefix(id, cell)}cancel`,
  progress: (id, cell) => `${formatProgressPrefix(cell)}${id}`,
  request: (id, cell) => `${formatJobPrefix(id, cell)}request`,
};
const JOB_KEY =
  /^nutmegproxy\/(?:cell\/([1-9]\d*)\/)?(?:fleet\/jobs\/([0-9a-f]{16})\/(cancel|request)|progress\/([0-9a-f]{16}))$/;

/** What the key of a part of a job names. */
export interface JobKey {
  readonly cell: CellIndex;
  readonly id: JobId;
  readonly part: JobPart;
}

/**
 * Returns the key of one part of a job.
 *
 * @example
 * formatJobKey(id, 'request'); // 'nutmegproxy/fleet/jobs/5c0e7a21d94b36f8/request'
 */
export function formatJobKey(id: JobId, part: JobPart, cell: CellIndex = FIRST_CELL): string {
  return KEY_FORMATS[part](id, cell);
}

/** Returns the prefix of the keys of a job's request and cancellation. */
export function formatJobPrefix(id: JobId, cell: CellIndex = FIRST_CELL): string {
  return `${formatFleetPrefix(cell)}jobs/${id}/`;
}

/** Returns the cell, job and part that a key names; undefined for other keys. */
export function parseJobKey(key: string): JobKey | undefined {
  const match = JOB_KEY.exec(key);
  if (match === null) {
    return undefined;
  }
  const [, number = '0', ofFleet, part, ofProgress = ''] = match;
  const cell = Number(number) as CellIndex;
  if (cell >= MAX_CELLS) {
    return undefined;
  }
  return ofFleet === undefined
    ? {cell, id: brand<JobId>(ofProgress), part: 'progress'}
    : {cell, id: brand<JobId>(ofFleet), part: part as JobPart};
}

export function encodeRecord(record: JobProgress | StoredJob): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Parses a stored value, which is JSON. */
export function parseStored(value: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(value.toString()));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

/** Decodes a stored job. Only this program writes it, so only its main fields are checked. */
export function decodeJob(value: Buffer): Result<StoredJob, string> {
  return parseStored(value).andThen((record) =>
    isObject(record) && typeof record.id === 'string' && Array.isArray(record.steps)
      ? ok(record as unknown as StoredJob)
      : err('stored job is not an object with an id and steps'),
  );
}

/** Decodes a job's stored progress; checks only its main fields. */
export function decodeProgress(value: Buffer): Result<JobProgress, string> {
  return parseStored(value).andThen((record) =>
    isObject(record) && typeof record.status === 'string' && isObject(record.steps)
      ? ok(record as unknown as JobProgress)
      : err('stored progress is not an object with a status and steps'),
  );
}
