/** Reads and changes the allotment record in the store by compare-and-swap. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, CellRecord, TenureRecord} from '@nutmegproxy/schema';
import type {
  Comparison,
  LeaseId,
  Operation,
  OperationResponse,
  PlatformStore,
  StoredValue,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {validateAllotmentRecord, validateTenureRecord} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';

import type {MembershipKeys} from './MembershipKeys.ts';

import {EMPTY_RECORD} from './AllotmentRecordUtils.ts';

/** One consistent reading of the record and of the tenure keys. */
export interface RecordReading {
  /** Modification revision of the record; 0 when there is none yet. */
  readonly modRevision: number;
  readonly record: AllotmentRecord;
  readonly tenures: ReadonlyMap<IncarnationId, StoredTenure>;
}

/** A tenure key as it stands in the store. */
export interface StoredTenure {
  readonly modRevision: number;
  readonly record: TenureRecord;
}

export type ReadFailure = 'invalid' | 'unavailable';

/** `unknown`: the change may have taken effect, or may yet until the record has a new revision. */
export type ChangeOutcome = 'committed' | 'conflict' | 'failed' | 'unknown';

/** A change of the record from the reading that it was planned on. */
export interface RecordChange {
  readonly from: RecordReading;
  /** Incarnations that must have no tenure key. */
  readonly gone?: readonly IncarnationId[];
  /** The writer's own tenure key, if it is to be set with the change. */
  readonly tenure?: TenureWrite;
  readonly to: AllotmentRecord;
}

export interface TenureWrite {
  readonly lease: LeaseId;
  readonly record: TenureRecord;
}

function parseJson(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function encodeJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function valuesOf(answer: OperationResponse | undefined): readonly StoredValue[] {
  return answer?.kind === 'get' ? answer.values : [];
}

function parseTenures(values: readonly StoredValue[]): RecordReading['tenures'] {
  const tenures = new Map<IncarnationId, StoredTenure>();
  for (const {modRevision, value} of values) {
    const record = parseJson(value);
    if (validateTenureRecord(record)) {
      tenures.set(brand(record.incarnation), {modRevision, record});
    }
  }
  return tenures;
}

function parseReading(
  answer: OperationResponse | undefined,
  tenures: RecordReading['tenures'],
): Result<RecordReading, ReadFailure> {
  const [stored] = valuesOf(answer);
  const record = stored === undefined ? EMPTY_RECORD : parseJson(stored.value);
  if (!validateAllotmentRecord(record)) {
    return err('invalid');
  }
  return ok({modRevision: stored?.modRevision ?? 0, record, tenures});
}

function changedCells(change: RecordChange): readonly CellRecord[] {
  const before = new Map(change.from.record.cells.map(({cell, epoch}) => [cell, epoch]));
  return change.to.cells.filter(({cell, epoch}) => before.get(cell) !== epoch);
}

export class RecordStore {
  readonly #createChangeId: () => string;
  readonly #keys: MembershipKeys;
  readonly #store: PlatformStore;

  constructor(store: PlatformStore, keys: MembershipKeys, createChangeId: () => string) {
    this.#createChangeId = createChangeId;
    this.#keys = keys;
    this.#store = store;
  }

  /** Writes the record, and with it the owner key of each cell whose epoch changed. */
  async change(change: RecordChange): Promise<ChangeOutcome> {
    const changeId = this.#createChangeId();
    const record = {...change.to, changeId, epoch: change.from.record.epoch + 1};
    const answer = await this.#store.commit({
      compare: this.#conditions(change),
      then: [
        {key: this.#keys.allotment(), kind: 'put', value: encodeJson(record)},
        ...this.#tenureWrite(change.tenure),
        ...changedCells(change).map((cell) => this.#ownerWrite(cell)),
      ],
    });
    if (answer.isOk()) {
      return answer.value.succeeded ? 'committed' : 'conflict';
    }
    return answer.error.kind === 'unknown' ? this.#readBack(changeId) : 'failed';
  }

  /** Modification revisions of the owner keys that name `owner` and the epochs of `cells`. */
  async readOwnerRevisions(
    cells: readonly CellRecord[],
  ): Promise<Result<ReadonlyMap<string, number>, ReadFailure>> {
    const answer = await this.#store.commit({
      compare: [],
      then: cells.map(({cell}) => ({key: this.#keys.cellOwner(brand(cell)), kind: 'get'})),
    });
    if (answer.isErr()) {
      return err('unavailable');
    }
    const found = new Map<string, number>();
    for (const [index, {cell, epoch, owner}] of cells.entries()) {
      const [stored] = valuesOf(answer.value.responses[index]);
      if (stored?.value.equals(encodeJson({epoch, owner})) === true) {
        found.set(cell, stored.modRevision);
      }
    }
    return ok(found);
  }

  /** Reads both in one transaction; the record itself only when it is not as `known` shows it. */
  async read(known?: RecordReading): Promise<Result<RecordReading, ReadFailure>> {
    const tenures: Operation = {key: this.#keys.tenurePrefix(), kind: 'get', prefix: true};
    const all: readonly Operation[] = [tenures, {key: this.#keys.allotment(), kind: 'get'}];
    const answer = await this.#store.commit(
      known === undefined
        ? {compare: [], then: all}
        : {
            compare: this.#conditions({from: known, to: known.record}),
            otherwise: all,
            then: [tenures],
          },
    );
    if (answer.isErr()) {
      return err('unavailable');
    }
    const {responses: answers, succeeded} = answer.value;
    const found = parseTenures(valuesOf(answers[0]));
    return known !== undefined && succeeded
      ? ok({...known, tenures: found})
      : parseReading(answers[1], found);
  }

  /**
   * Sets the own tenure key, on condition that the record and the key are as they were read: an
   * earlier write that arrives late must not attach the key to a lease that is no longer renewed.
   */
  async writeTenure(from: RecordReading, tenure: TenureWrite): Promise<boolean> {
    const incarnation = brand<IncarnationId>(tenure.record.incarnation);
    const unchanged: Comparison = {
      key: this.#keys.tenure(incarnation),
      kind: 'modRevision',
      modRevision: from.tenures.get(incarnation)?.modRevision ?? 0,
    };
    const answer = await this.#store.commit({
      compare: [...this.#conditions({from, to: from.record}), unchanged],
      then: this.#tenureWrite(tenure),
    });
    return answer.isOk() && answer.value.succeeded;
  }

  #conditions({from, gone = []}: RecordChange): readonly Comparison[] {
    const unchanged: Comparison = {
      key: this.#keys.allotment(),
      kind: 'modRevision',
      modRevision: from.modRevision,
    };
    const absent = gone.map((incarnation): Comparison => ({
      key: this.#keys.tenure(incarnation),
      kind: 'modRevision',
      modRevision: 0,
    }));
    return [unchanged, ...absent];
  }

  #ownerWrite({cell, epoch, owner}: CellRecord): Operation {
    return {
      key: this.#keys.cellOwner(brand(cell)),
      kind: 'put',
      value: encodeJson({epoch, owner}),
    };
  }

  async #readBack(changeId: string): Promise<ChangeOutcome> {
    const reading = await this.read();
    return reading.isOk() && reading.value.record.changeId === changeId ? 'committed' : 'unknown';
  }

  #tenureWrite(tenure: TenureWrite | undefined): readonly Operation[] {
    if (tenure === undefined) {
      return [];
    }
    const key = this.#keys.tenure(brand(tenure.record.incarnation));
    return [{key, kind: 'put', lease: tenure.lease, value: encodeJson(tenure.record)}];
  }
}
