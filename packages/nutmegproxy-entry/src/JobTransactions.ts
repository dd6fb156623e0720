/** The transactions by which entry VMs store jobs and cancellations. */

import type {JobId, RequestId} from '@nutmegproxy/core';
import type {CellIndex, StoredJob} from '@nutmegproxy/jobs';
import type {Comparison, Operation, Transaction} from '@nutmegproxy/store';

import {encodePlace, encodeRecord, formatJobKey, formatPlaceKey} from '@nutmegproxy/jobs';

/** Where the records of a job are looked for first, and whether it may be in another cell. */
export interface JobHome {
  readonly cell: CellIndex;
  readonly hasPlaces: boolean;
}

/**
 * Returns the transaction that stores a job in a cell, unless it is stored in any or was cancelled before.
 *
 * @example
 * await store.commit(createSubmission(job, cell, home));
 */
export function createSubmission(job: StoredJob, cell: CellIndex, home: JobHome): Transaction {
  const key = formatJobKey(job.id, 'request', cell);
  const isAtHome = cell === home.cell;
  const stored = isAtHome ? job : {...job, isPlaced: true as const};
  const place: Operation = {key: formatPlaceKey(job.id), kind: 'put', value: encodePlace(cell)};
  return {
    compare: [...requireNoJob(job.id, home), requireAbsent(formatMarkKey(job.id, home))],
    then: [{key, kind: 'put', value: encodeRecord(stored)}, ...(isAtHome ? [] : [place])],
  };
}

/**
 * Returns the transaction that cancels a job which is not stored: a submission of it that is under way, or that
 * the store carries out late, stores nothing any more.
 *
 * @example
 * await store.commit(createEarlyCancellation(id, home, call.requestId));
 */
export function createEarlyCancellation(
  id: JobId,
  home: JobHome,
  requestId: RequestId,
): Transaction {
  return {
    compare: requireNoJob(id, home),
    then: [{key: formatMarkKey(id, home), kind: 'put', value: Buffer.from(requestId)}],
  };
}

/** Returns the transaction that cancels a stored job. */
export function createCancellation(id: JobId, cell: CellIndex, requestId: RequestId): Transaction {
  const key = formatJobKey(id, 'cancel', cell);
  return {compare: [], then: [{key, kind: 'put', value: Buffer.from(requestId)}]};
}

function formatMarkKey(id: JobId, home: JobHome): string {
  return formatJobKey(id, 'cancel', home.cell);
}

function requireAbsent(key: string): Comparison {
  return {key, kind: 'modRevision', modRevision: 0};
}

function requireNoJob(id: JobId, {cell, hasPlaces}: JobHome): Comparison[] {
  const keys = [formatJobKey(id, 'request', cell), ...(hasPlaces ? [formatPlaceKey(id)] : [])];
  return keys.map(requireAbsent);
}
