/** Job ids contain the job's cell, so that any VM can find its owner without a store call. */

import type {CellId, DataCentreId, JobId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {createHash} from 'node:crypto';

const SEPARATOR = '~';
const HASH_LENGTH = 32;

/** The parts of a job's id. */
export interface JobLocator {
  readonly cell: CellId;
  readonly dataCentre: DataCentreId;
  readonly hash: string;
}

/**
 * Hash of an idempotency key. Keys are scoped to an entry, so that two teams can use the same key.
 *
 * @example
 * const hash = hashKey(entry.id, key);
 */
export function hashKey(entry: string, key: string): string {
  return createHash('sha256').update(`${entry}\n${key}`).digest('hex').slice(0, HASH_LENGTH);
}

/**
 * Formats a job id from its parts.
 *
 * @example
 * const job = formatJobId({cell, dataCentre, hash: hashKey(entry.id, key)});
 */
export function formatJobId(locator: JobLocator): JobId {
  const parts = [locator.hash, locator.dataCentre, locator.cell];
  return brand<JobId>(parts.map(encodeURIComponent).join(SEPARATOR));
}

/** Parses a job id; returns undefined when the text is not a job id. */
export function parseJobId(text: string): JobLocator | undefined {
  const parts = text.split(SEPARATOR);
  if (parts.length !== 3) {
    return undefined;
  }
  try {
    const [hash = '', dataCentre = '', cell = ''] = parts.map(decodeURIComponent);
    return {cell: brand<CellId>(cell), dataCentre: brand<DataCentreId>(dataCentre), hash};
  } catch {
    return undefined;
  }
}

/** Hash of the idempotency key with which a job was submitted. */
export function getJobHash(job: string): string {
  return parseJobId(job)?.hash ?? job;
}
