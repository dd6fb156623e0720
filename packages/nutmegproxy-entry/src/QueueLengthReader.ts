/** Reads the queue lengths that the owners of the fleet's cells publish. */

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
  const read = await store.commit({
    compare: [],
    then: listCells(cells).map((cell) => ({key: formatRecordKey('waiting', cell), kind: 'get'})),
  });
  return read.andThen(({responses}) =>
    addCounts(responses.flatMap((each) => (each.kind === 'get' ? each.values : []))),
  );
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
