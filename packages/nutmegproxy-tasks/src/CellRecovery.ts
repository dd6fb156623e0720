/** Recovery of a cell's state from its log in the platform's store. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {JobRecord, SnapshotHeader, TaskDelta} from '@nutmegproxy/schema';
import type {Operation, PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {
  validateCellOwnerRecord,
  validateCellSnapshot,
  validateSnapshotHeader,
  validateTaskDelta,
} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';

import type {LogPosition} from './CellLog.ts';
import type {CellKeys} from './TaskKeys.ts';

import {parseJson, parseStoredValue} from './StoredUtils.ts';
import {SNAPSHOT_CHUNK_BYTES} from './TasksConstants.ts';
import {TaskTable} from './TaskTable.ts';

/** Owner of a cell according to its owner key in the store. */
export interface StoredOwner {
  readonly epoch: number;
  readonly owner: IncarnationId;
}

/** Parses the value of an owner key; returns undefined when it is malformed. */
export type OwnerParser = (value: Buffer) => StoredOwner | undefined;

/** Parses the value of an owner key as membership writes it. */
export function parseOwnerRecord(value: Buffer): StoredOwner | undefined {
  const record = parseJson(value.toString(), validateCellOwnerRecord);
  return record && {epoch: record.epoch, owner: record.owner as IncarnationId};
}

/** `not-owner`: the cell has another owner in the store. `malformed`: a value can't be parsed. */
export interface RecoveryFailure {
  readonly kind: 'malformed' | 'not-owner' | 'store';
  readonly message: string;
}

/** State of a cell and the position at which its log continues. */
export interface RecoveredCell {
  readonly position: LogPosition;
  readonly table: TaskTable;
}

interface LogContent {
  readonly deltas: readonly StoredValue[];
  readonly header: SnapshotHeader | undefined;
  readonly owner: StoredValue | undefined;
}

/**
 * Reads and replays a cell's log. Fails if `owner` is given and the store names another owner. Omit
 * `owner` only for reads that write nothing to the log.
 *
 * @example
 * const recovered = await recoverCell(store, keys, parseOwner, node.identity.incarnation);
 */
export async function recoverCell(
  store: PlatformStore,
  keys: CellKeys,
  parseOwner: OwnerParser,
  owner?: IncarnationId,
): Promise<Result<RecoveredCell, RecoveryFailure>> {
  const content = await readLog(store, keys);
  if (content.isErr()) {
    return err(content.error);
  }
  const stored = content.value.owner && parseOwner(content.value.owner.value);
  if (owner !== undefined && stored?.owner !== owner) {
    return err({kind: 'not-owner', message: 'this process is not the owner in the store'});
  }
  const jobs = await readSnapshot(store, keys, content.value.header);
  if (jobs.isErr()) {
    return err(jobs.error);
  }
  return replayLog(keys, content.value, jobs.value, stored?.epoch ?? 0);
}

function storeFailure(failure: StoreFailure): RecoveryFailure {
  return {kind: 'store', message: failure.message};
}

async function readKeys(
  store: PlatformStore,
  gets: readonly Operation[],
): Promise<Result<(readonly StoredValue[])[], RecoveryFailure>> {
  const response = await store.commit({compare: [], then: gets});
  return response
    .mapErr(storeFailure)
    .map(({responses}) => responses.map((each) => (each.kind === 'get' ? each.values : [])));
}

/** Reads owner, snapshot header and deltas in one transaction, so that they are consistent. */
async function readLog(
  store: PlatformStore,
  keys: CellKeys,
): Promise<Result<LogContent, RecoveryFailure>> {
  const response = await readKeys(store, [
    {key: keys.owner, kind: 'get'},
    {key: keys.snapshot, kind: 'get'},
    {key: keys.deltas, kind: 'get', prefix: true},
  ]);
  if (response.isErr()) {
    return err(response.error);
  }
  const [owners = [], headers = [], deltas = []] = response.value;
  const header = parseStoredValue(headers[0], validateSnapshotHeader);
  if (headers.length > 0 && !header) {
    return err({kind: 'malformed', message: 'the snapshot header is malformed'});
  }
  return ok({deltas, header, owner: owners[0]});
}

async function readSnapshot(
  store: PlatformStore,
  keys: CellKeys,
  header: SnapshotHeader | undefined,
): Promise<Result<readonly JobRecord[], RecoveryFailure>> {
  if (!header) {
    return ok([]);
  }
  const parts: Buffer[] = [];
  for (let index = 0; index < header.chunks; index += 1) {
    const response = await readKeys(store, [
      {key: keys.chunk(header.generation, index), kind: 'get'},
    ]);
    if (response.isErr()) {
      return err(response.error);
    }
    const chunk = response.value[0]?.[0];
    if (!chunk) {
      return err({kind: 'malformed', message: 'a snapshot chunk is missing'});
    }
    parts.push(chunk.value);
  }
  const snapshot = parseJson(Buffer.concat(parts).toString(), validateCellSnapshot);
  return snapshot
    ? ok(snapshot.jobs)
    : err({kind: 'malformed', message: 'the snapshot is malformed'});
}

function replayLog(
  keys: CellKeys,
  content: LogContent,
  jobs: readonly JobRecord[],
  epoch: number,
): Result<RecoveredCell, RecoveryFailure> {
  const table = new TaskTable();
  table.restore(jobs);
  const snapshotGeneration = content.header?.generation ?? -1;
  let generation = Math.max(0, snapshotGeneration);
  let sequence = 0;
  let bytes = 0;
  let deltas = 0;
  // Delta keys sort by generation and sequence.
  const sorted = [...content.deltas].sort((a, b) => (a.key < b.key ? -1 : 1));
  for (const stored of sorted) {
    const position = keys.parseDelta(stored.key);
    if (position.generation < snapshotGeneration) {
      continue;
    }
    const delta: TaskDelta | undefined = parseStoredValue(stored, validateTaskDelta);
    if (!delta) {
      return err({kind: 'malformed', message: stored.key});
    }
    for (const change of delta.changes) {
      table.apply(change);
    }
    generation = position.generation;
    sequence = position.sequence + 1;
    bytes += stored.value.length;
    deltas += 1;
  }
  const ownerRevision = content.owner?.modRevision ?? 0;
  const snapshotBytes = (content.header?.chunks ?? 0) * SNAPSHOT_CHUNK_BYTES;
  const position = {
    bytes,
    deltas,
    epoch,
    generation,
    ownerRevision,
    sequence,
    snapshotBytes,
    snapshotGeneration,
  };
  return ok({position, table});
}
