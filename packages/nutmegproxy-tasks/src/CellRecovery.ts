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

import {parseJson, parseStored} from './StoredUtils.ts';
import {SNAPSHOT_CHUNK_BYTES} from './TasksConstants.ts';
import {TaskTable} from './TaskTable.ts';

/** Owner of a cell as its key in the store says. */
export interface StoredOwner {
  readonly epoch: number;
  readonly owner: IncarnationId;
}

/** Reads the value of an owner key; undefined when it can't be read. */
export type OwnerParser = (value: Buffer) => StoredOwner | undefined;

/** Reads the owner keys that membership writes. */
export function parseOwnerRecord(value: Buffer): StoredOwner | undefined {
  const record = parseJson(value.toString(), validateCellOwnerRecord);
  return record && {epoch: record.epoch, owner: record.owner as IncarnationId};
}

/** `not-owner`: the store names another owner. `malformed`: a value can't be read. */
export interface RecoveryFailure {
  readonly kind: 'malformed' | 'not-owner' | 'store';
  readonly message: string;
}

/** A cell's state with the place where its log goes on. */
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
 * Reads and replays a cell's log. With `owner`, fails unless the store names that owner; without,
 * the state is read for information only.
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
    return err({kind: 'not-owner', message: 'the owner key names another process'});
  }
  const jobs = await readSnapshot(store, keys, content.value.header);
  if (jobs.isErr()) {
    return err(jobs.error);
  }
  return replay(keys, content.value, jobs.value, stored?.epoch ?? 0);
}

function storeFailure(failure: StoreFailure): RecoveryFailure {
  return {kind: 'store', message: failure.message};
}

async function read(
  store: PlatformStore,
  gets: readonly Operation[],
): Promise<Result<(readonly StoredValue[])[], RecoveryFailure>> {
  const answer = await store.commit({compare: [], then: gets});
  return answer
    .mapErr(storeFailure)
    .map(({responses: answers}) => answers.map((each) => (each.kind === 'get' ? each.values : [])));
}

/** One transaction, so that the deltas belong to the owner that is read with them. */
async function readLog(
  store: PlatformStore,
  keys: CellKeys,
): Promise<Result<LogContent, RecoveryFailure>> {
  const answer = await read(store, [
    {key: keys.owner, kind: 'get'},
    {key: keys.snapshot, kind: 'get'},
    {key: keys.deltas, kind: 'get', prefix: true},
  ]);
  if (answer.isErr()) {
    return err(answer.error);
  }
  const [owners = [], headers = [], deltas = []] = answer.value;
  const header = parseStored(headers[0], validateSnapshotHeader);
  if (headers.length > 0 && !header) {
    return err({kind: 'malformed', message: 'snapshot header'});
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
    const answer = await read(store, [{key: keys.chunk(header.generation, index), kind: 'get'}]);
    if (answer.isErr()) {
      return err(answer.error);
    }
    const chunk = answer.value[0]?.[0];
    if (!chunk) {
      return err({kind: 'malformed', message: 'a snapshot chunk is missing'});
    }
    parts.push(chunk.value);
  }
  const snapshot = parseJson(Buffer.concat(parts).toString(), validateCellSnapshot);
  return snapshot ? ok(snapshot.jobs) : err({kind: 'malformed', message: 'snapshot'});
}

function replay(
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
    const place = keys.parseDelta(stored.key);
    if (place.generation < snapshotGeneration) {
      continue;
    }
    const delta: TaskDelta | undefined = parseStored(stored, validateTaskDelta);
    if (!delta) {
      return err({kind: 'malformed', message: stored.key});
    }
    for (const change of delta.changes) {
      table.apply(change);
    }
    generation = place.generation;
    sequence = place.sequence + 1;
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
