/** Reads what the owners of the fleet's cells publish: queue lengths and outlooks. */

import type {Clock} from '@nutmegproxy/core';
import type {CellForecast} from '@nutmegproxy/jobs';
import type {QueueLengths, RevisionLog} from '@nutmegproxy/owner';
import type {PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {formatRecordKey, listCells} from '@nutmegproxy/jobs';
import {parseJson} from '@nutmegproxy/owner';
import {err, ok} from 'neverthrow';

/** Number of waiting jobs by queue; `outdated` while the owner of a cell does not publish how many wait there. */
export type KnownQueueLengths = 'outdated' | Readonly<Record<string, number>>;

/** What tells the age of records. */
export interface RecordAges {
  readonly clock: Clock;
  readonly revisions: RevisionLog;
}

/**
 * Returns the lengths by queue, added up over the cells. The lengths of a cell that were not written for their validity
 * are those of an owner that has ended or falls behind: callers would hear too little.
 *
 * @example
 * const counts = await readQueueLengths(store, 3, {clock, revisions});
 */
export async function readQueueLengths(
  store: PlatformStore,
  cells: number,
  {clock, revisions}: RecordAges,
): Promise<Result<KnownQueueLengths, StoreFailure>> {
  const read = await readLengths(store, cells);
  return read.andThen(({revision, stored}) => {
    const now = clock.monotonic();
    revisions.record(revision, now);
    return decodeLengths(stored).map((lengths) => {
      const areOutdated = lengths.some(
        (each) =>
          each === undefined ||
          now - revisions.findSeenAt(each.modRevision, now) > (each.validMs ?? Infinity),
      );
      return areOutdated ? 'outdated' : addCounts(lengths);
    });
  });
}

/**
 * Returns the forecast of each cell, in their order; undefined for one that publishes none.
 *
 * @example
 * const [first] = (await readCellForecasts(store, 3)).unwrapOr([]);
 */
export async function readCellForecasts(
  store: PlatformStore,
  cells: number,
): Promise<Result<readonly (CellForecast | undefined)[], StoreFailure>> {
  const read = await readLengths(store, cells);
  return read.map(({stored}) => stored.map((each) => each && decodeForecast(each)));
}

/** The record of each cell, in their order, and the revision of the store at which they were read. */
interface StoredLengths {
  readonly revision: number;
  readonly stored: readonly (StoredValue | undefined)[];
}

interface DecodedLengths {
  readonly counts: Readonly<Record<string, number>>;
  readonly modRevision: number;
  readonly validMs: number | undefined;
}

/** Reads the record of each cell, in their order. */
async function readLengths(
  store: PlatformStore,
  cells: number,
): Promise<Result<StoredLengths, StoreFailure>> {
  const read = await store.commit({
    compare: [],
    then: listCells(cells).map((cell) => ({key: formatRecordKey('waiting', cell), kind: 'get'})),
  });
  return read.map(({responses, revision}) => ({
    revision,
    stored: responses.map((each) => (each.kind === 'get' ? each.values[0] : undefined)),
  }));
}

/** Only this program writes it, so only its main fields are checked; a malformed one is as none. */
function decodeForecast({value}: StoredValue): CellForecast | undefined {
  const record = (parseJson(value.toString()).unwrapOr(null) ?? {}) as Partial<QueueLengths>;
  const {counts, outlook} = record;
  if (counts === undefined || typeof outlook?.writtenAt !== 'number') {
    return undefined;
  }
  const waitingJobs = Object.values(counts).reduce((sum, count) => sum + count, 0);
  const {groups, labels} = outlook as Partial<CellForecast>;
  return Array.isArray(groups) && labels instanceof Object ? {...outlook, waitingJobs} : undefined;
}

/** Decodes the record of each cell; undefined for one that has none. */
function decodeLengths(
  stored: readonly (StoredValue | undefined)[],
): Result<readonly (DecodedLengths | undefined)[], StoreFailure> {
  const decoded: (DecodedLengths | undefined)[] = [];
  for (const each of stored) {
    const record = each && parseJson(each.value.toString()).unwrapOr(null);
    const {counts, validMs} = (record ?? {}) as Partial<QueueLengths>;
    if (each !== undefined && counts === undefined) {
      // A sum without it would tell callers that fewer jobs wait.
      return err({kind: 'rejected', message: `${each.key} is malformed`});
    }
    decoded.push(each && {counts: counts ?? {}, modRevision: each.modRevision, validMs});
  }
  return ok(decoded);
}

function addCounts(
  lengths: readonly (DecodedLengths | undefined)[],
): Readonly<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const [queue, count] of lengths.flatMap((each) => Object.entries(each?.counts ?? {}))) {
    sums[queue] = (sums[queue] ?? 0) + count;
  }
  return sums;
}
