/**
 * The task log of one cell: deltas and snapshots in the platform's store. Each write has the
 * condition that this process owns the cell.
 */

import type {ChangeId} from '@nutmegproxy/core';
import type {JobLocation, SnapshotHeader, TaskChange, TaskDelta} from '@nutmegproxy/schema';
import type {Comparison, LeaseId, Operation} from '@nutmegproxy/store';

import {brand, invariant} from '@nutmegproxy/core';
import {validateJobLocation, validateTaskDelta} from '@nutmegproxy/schema';
import {randomUUID} from 'node:crypto';

import type {CommitOutcome, GroupCommit} from './GroupCommit.ts';
import type {CellKeys} from './TaskKeys.ts';
import type {TaskTable} from './TaskTable.ts';

import {parseStoredValue} from './StoredUtils.ts';
import {
  MAX_DELTA_BYTES,
  MAX_DELTA_BYTES_PER_SNAPSHOT,
  MAX_DELTAS_PER_SNAPSHOT,
  MIN_DELTA_BYTES_PER_SNAPSHOT,
  SNAPSHOT_CHUNK_BYTES,
} from './TasksConstants.ts';

/**
 * Outcome of an append. `lost`: another process owns the cell. `exists`: the idempotency key
 * already belongs to a job.
 */
export type AppendOutcome =
  | {readonly job: string; readonly kind: 'exists'}
  | {readonly kind: 'committed'}
  | {readonly kind: 'lost'}
  | {readonly kind: 'unavailable'};

/** Position at which a recovered log continues. */
export interface LogPosition {
  readonly bytes: number;
  readonly deltas: number;
  readonly epoch: number;
  readonly generation: number;
  readonly ownerRevision: number;
  readonly sequence: number;
  readonly snapshotBytes: number;
  /** Generation of the snapshot that the header refers to; -1 when there is none. */
  readonly snapshotGeneration: number;
}

/** Additional writes and conditions of one append. */
export interface AppendOptions {
  readonly failFast?: boolean;
  /** Idempotency key that must be absent; it is written with the job's id. */
  readonly jobKey?: {readonly job: string; readonly key: string};
  readonly lease?: LeaseId;
  /** Removed jobs whose keys stay in the store until `lease` expires. */
  readonly removedJobs?: readonly {readonly job: string; readonly key: string}[];
}

function encodeJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Appends deltas in order and replaces old ones with a snapshot. */
export class CellLog {
  #bytes: number;
  readonly #commit: GroupCommit;
  #deltas: number;
  readonly #epoch: number;
  #generation: number;
  readonly #keys: CellKeys;
  readonly #ownerRevision: number;
  #sequence: number;
  #snapshotBytes: number;
  #snapshotGeneration: number;
  #isSnapshotRunning = false;

  constructor(keys: CellKeys, commit: GroupCommit, position: LogPosition) {
    this.#bytes = position.bytes;
    this.#commit = commit;
    this.#deltas = position.deltas;
    this.#epoch = position.epoch;
    this.#generation = position.generation;
    this.#keys = keys;
    this.#ownerRevision = position.ownerRevision;
    this.#sequence = position.sequence;
    this.#snapshotBytes = position.snapshotBytes;
    this.#snapshotGeneration = position.snapshotGeneration;
  }

  /** Whether the deltas since the last snapshot are many or large enough for a new one. */
  get isSnapshotDue(): boolean {
    const limit = Math.max(MIN_DELTA_BYTES_PER_SNAPSHOT, this.#snapshotBytes);
    const isLarge = this.#bytes >= Math.min(MAX_DELTA_BYTES_PER_SNAPSHOT, limit);
    return (isLarge || this.#deltas >= MAX_DELTAS_PER_SNAPSHOT) && !this.#isSnapshotRunning;
  }

  /** Commits `changes` as one delta. */
  async append(
    changes: readonly TaskChange[],
    options: AppendOptions = {},
  ): Promise<AppendOutcome> {
    const changeId = brand<ChangeId>(randomUUID());
    const delta: TaskDelta = {changeId, changes: [...changes], epoch: this.#epoch};
    const value = encodeJson(delta);
    invariant(value.length <= MAX_DELTA_BYTES, 'tasks: a delta exceeds the maximum value size');
    const deltaKey = this.#keys.delta(this.#generation, this.#sequence);
    this.#sequence += 1;
    this.#deltas += 1;
    this.#bytes += value.length;
    const {failFast = false, jobKey, lease, removedJobs = []} = options;
    const jobKeys = jobKey ? [jobKey.key] : [];
    const outcome = await this.#commit.commit({
      compare: [this.#requireOwnership(), ...[deltaKey, ...jobKeys].map(requireAbsent)],
      failFast,
      readBack: [deltaKey, this.#keys.owner, ...jobKeys],
      sizeBytes: value.length + removedJobs.length * SMALL_VALUE_BYTES + SMALL_VALUE_BYTES,
      then: [
        {key: deltaKey, kind: 'put', value},
        ...(jobKey ? [createLocationPut(jobKey)] : []),
        ...removedJobs.map((each) => createLocationPut(each, lease)),
      ],
    });
    return this.#toAppendOutcome(outcome, changeId);
  }

  /**
   * Writes the table as a snapshot and deletes the deltas that it covers. The table must contain
   * all committed changes, and no append may be pending.
   */
  async snapshot(table: TaskTable): Promise<'committed' | 'lost' | 'unavailable'> {
    invariant(!this.#isSnapshotRunning, 'tasks: another snapshot of the cell is being written');
    this.#isSnapshotRunning = true;
    const text = encodeJson({jobs: table.snapshot()});
    this.#snapshotBytes = text.length;
    const covered = this.#generation;
    // Later appends go to a new generation, which the snapshot does not delete.
    this.#generation += 1;
    this.#sequence = 0;
    this.#deltas = 0;
    this.#bytes = 0;
    const outcome = await this.#writeSnapshot(text, this.#generation, covered);
    this.#isSnapshotRunning = false;
    return outcome;
  }

  #toAppendOutcome(outcome: CommitOutcome, changeId: ChangeId): AppendOutcome {
    if (outcome.kind !== 'refused') {
      return outcome;
    }
    const [delta, owner, location] = outcome.found;
    // An earlier commit of this delta succeeded, but its response was lost.
    if (parseStoredValue(delta, validateTaskDelta)?.changeId === changeId) {
      return {kind: 'committed'};
    }
    const owned = owner?.modRevision === this.#ownerRevision;
    const job = parseStoredValue(location, validateJobLocation)?.job;
    return owned && !delta && job !== undefined ? {job, kind: 'exists'} : {kind: 'lost'};
  }

  #requireOwnership(): Comparison {
    return {
      key: this.#keys.owner,
      kind: 'modRevision',
      modRevision: this.#ownerRevision,
    };
  }

  async #commitSnapshotPart(
    then: readonly Operation[],
    sizeBytes: number,
  ): Promise<CommitOutcome['kind']> {
    const outcome = await this.#commit.commit({
      compare: [this.#requireOwnership()],
      failFast: false,
      readBack: [],
      sizeBytes,
      then,
    });
    return outcome.kind;
  }

  async #writeSnapshot(
    text: Buffer,
    generation: number,
    covered: number,
  ): Promise<'committed' | 'lost' | 'unavailable'> {
    const chunks = Math.max(1, Math.ceil(text.length / SNAPSHOT_CHUNK_BYTES));
    for (let index = 0; index < chunks; index += 1) {
      const start = index * SNAPSHOT_CHUNK_BYTES;
      const value = text.subarray(start, start + SNAPSHOT_CHUNK_BYTES);
      const key = this.#keys.chunk(generation, index);
      const kind = await this.#commitSnapshotPart([{key, kind: 'put', value}], value.length);
      if (kind !== 'committed') {
        return kind === 'refused' ? 'lost' : kind;
      }
    }
    const header: SnapshotHeader = {chunks, generation};
    const kind = await this.#commitSnapshotPart(
      [
        {key: this.#keys.snapshot, kind: 'put', value: encodeJson(header)},
        ...this.#createObsoleteDeletes(covered),
      ],
      SMALL_VALUE_BYTES,
    );
    if (kind === 'committed') {
      this.#snapshotGeneration = generation;
    }
    return kind === 'refused' ? 'lost' : kind;
  }

  /** Deletes of the data that a new snapshot replaces, including unfinished snapshots. */
  #createObsoleteDeletes(covered: number): Operation[] {
    const first = Math.max(0, this.#snapshotGeneration);
    const generations = Array.from({length: covered - first + 1}, (_, index) => first + index);
    return generations.slice(-MAX_OBSOLETE_GENERATIONS).flatMap((each): Operation[] => [
      {key: this.#keys.generation(each), kind: 'delete', prefix: true},
      {key: this.#keys.chunks(each), kind: 'delete', prefix: true},
    ]);
  }
}

const MAX_OBSOLETE_GENERATIONS = 16;
const SMALL_VALUE_BYTES = 512;

function requireAbsent(key: string): Comparison {
  return {key, kind: 'modRevision', modRevision: 0};
}

function createLocationPut(location: {job: string; key: string}, lease?: LeaseId): Operation {
  const value: JobLocation = {job: location.job};
  const put = {key: location.key, kind: 'put', value: encodeJson(value)} as const;
  return lease === undefined ? put : {...put, lease};
}
