/** Reads what the owners of the fleet's cells publish: queue lengths and outlooks. */

import type {CellForecast} from '@nutmegproxy/jobs';
import type {QueueLengths} from '@nutmegproxy/owner';
import type {PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {formatRecordKey, listCells} from '@nutmegproxy/jobs';
import {parseJson} from '@nutmegproxy/owner';
import {err, ok} from 'neverthrow';

/**
 * Returns the lengths by queue, added up over the cells; a cell that has not published any has none.
 *
 * @example
 * const counts = await readQueueLengths(store, 3);
 */
export async function readQueueLengths(
  store: PlatformStore,
  cells: number,
): Promise<Result<Readonly<Record<string, number>>, StoreFailure>> {
  const read = await readLengths(store, cells);
  return read.andThen((stored) => addCounts(stored.flatMap((each) => each ?? [])));
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
  return read.map((stored) => stored.map((each) => each && decodeForecast(each)));
}

/** Reads the record of each cell, in their order. */
async function readLengths(
  store: PlatformStore,
  cells: number,
): Promise<Result<readonly (StoredValue | undefined)[], StoreFailure>> {
  const read = await store.commit({
    compare: [],
    then: listCells(cells).map((cell) => ({key: formatRecordKey('waiting', cell), kind: 'get'})),
  });
  return read.map(({responses}) =>
    responses.map((each) => (each.kind === 'get' ? each.values[0] : undefined)),
  );
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

function addCounts(
  stored: readonly StoredValue[],
): Result<Readonly<Record<string, number>>, StoreFailure> {
  const sums: Record<string, number> = {};
  for (const {key, value} of stored) {
    const {counts} = (parseJson(value.toString()).unwrapOr(null) ?? {}) as Partial<QueueLengths>;
    if (counts === undefined) {
      // A sum without it would tell callers that fewer jobs wait.
      return err({kind: 'rejected', message: `${key} is malformed`});
    }
    for (const [queue, count] of Object.entries(counts)) {
      sums[queue] = (sums[queue] ?? 0) + count;
    }
  }
  return ok(sums);
}
