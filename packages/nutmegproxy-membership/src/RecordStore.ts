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

/** A consistent read of the record and the tenure keys. */
export interface RecordReading {
  /** Modification revision of the record; 0 when there is none yet. */
  readonly modRevision: number;
  readonly record: AllotmentRecord;
  readonly tenures: ReadonlyMap<IncarnationId, StoredTenure>;
}

/** A tenure key in the store. */
export interface StoredTenure {
  readonly modRevision: number;
  readonly record: TenureRecord;
}

export type ReadFailure = 'invalid' | 'unavailable';

/** `unknown`: the change may have taken effect, or may still do so until the revision changes. */
export type ChangeOutcome = 'committed' | 'conflict' | 'failed' | 'unknown';

/** A change of the record, based on a reading. */
export interface RecordChange {
  /** Incarnations whose tenure key must be absent. */
  readonly absentTenures?: readonly IncarnationId[];
  readonly from: RecordReading;
  /** The writer's own tenure key, if the change sets it. */
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

function getValues(result: OperationResponse | undefined): readonly StoredValue[] {
  return result?.kind === 'get' ? result.values : [];
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
  result: OperationResponse | undefined,
  tenures: RecordReading['tenures'],
): Result<RecordReading, ReadFailure> {
  const [stored] = getValues(result);
  const record = stored === undefined ? EMPTY_RECORD : parseJson(stored.value);
  if (!validateAllotmentRecord(record)) {
    return err('invalid');
  }
  return ok({modRevision: stored?.modRevision ?? 0, record, tenures});
}

function findChangedCells(change: RecordChange): readonly CellRecord[] {
  const previousEpochs = new Map(change.from.record.cells.map(({cell, epoch}) => [cell, epoch]));
  return change.to.cells.filter(({cell, epoch}) => previousEpochs.get(cell) !== epoch);
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

  /** Writes the record and the owner key of each cell whose epoch changed. */
  async change(change: RecordChange): Promise<ChangeOutcome> {
    const changeId = this.#createChangeId();
    const record = {...change.to, changeId, epoch: change.from.record.epoch + 1};
    const response = await this.#store.commit({
      compare: this.#createConditions(change),
      then: [
        {key: this.#keys.allotment(), kind: 'put', value: encodeJson(record)},
        ...this.#createTenureWrites(change.tenure),
        ...findChangedCells(change).map((cell) => this.#createOwnerWrite(cell)),
      ],
    });
    if (response.isOk()) {
      return response.value.succeeded ? 'committed' : 'conflict';
    }
    return response.error.kind === 'unknown' ? this.#resolveUnknownOutcome(changeId) : 'failed';
  }

  /** Reads the modification revisions of the owner keys that match `cells` in owner and epoch. */
  async readOwnerRevisions(
    cells: readonly CellRecord[],
  ): Promise<Result<ReadonlyMap<string, number>, ReadFailure>> {
    const response = await this.#store.commit({
      compare: [],
      then: cells.map(({cell}) => ({key: this.#keys.cellOwner(brand(cell)), kind: 'get'})),
    });
    if (response.isErr()) {
      return err('unavailable');
    }
    const found = new Map<string, number>();
    for (const [index, {cell, epoch, owner}] of cells.entries()) {
      const [stored] = getValues(response.value.responses[index]);
      if (stored?.value.equals(encodeJson({epoch, owner})) === true) {
        found.set(cell, stored.modRevision);
      }
    }
    return ok(found);
  }

  /** Reads record and tenure keys in one transaction; omits a record unchanged since `previous`. */
  async read(previous?: RecordReading): Promise<Result<RecordReading, ReadFailure>> {
    const tenures: Operation = {key: this.#keys.tenurePrefix(), kind: 'get', prefix: true};
    const fullRead: readonly Operation[] = [tenures, {key: this.#keys.allotment(), kind: 'get'}];
    const response = await this.#store.commit(
      previous === undefined
        ? {compare: [], then: fullRead}
        : {
            compare: this.#createConditions({from: previous, to: previous.record}),
            otherwise: fullRead,
            then: [tenures],
          },
    );
    if (response.isErr()) {
      return err('unavailable');
    }
    const {responses, succeeded} = response.value;
    const found = parseTenures(getValues(responses[0]));
    return previous !== undefined && succeeded
      ? ok({...previous, tenures: found})
      : parseReading(responses[1], found);
  }

  /**
   * Sets the own tenure key if the record and the key are unchanged since they were read. Otherwise
   * an earlier write that arrives late could attach the key to a lease that is no longer renewed.
   */
  async writeTenure(from: RecordReading, tenure: TenureWrite): Promise<boolean> {
    const incarnation = brand<IncarnationId>(tenure.record.incarnation);
    const unchanged: Comparison = {
      key: this.#keys.tenure(incarnation),
      kind: 'modRevision',
      modRevision: from.tenures.get(incarnation)?.modRevision ?? 0,
    };
    const response = await this.#store.commit({
      compare: [...this.#createConditions({from, to: from.record}), unchanged],
      then: this.#createTenureWrites(tenure),
    });
    return response.isOk() && response.value.succeeded;
  }

  #createConditions({absentTenures = [], from}: RecordChange): readonly Comparison[] {
    const unchanged: Comparison = {
      key: this.#keys.allotment(),
      kind: 'modRevision',
      modRevision: from.modRevision,
    };
    const tenuresAbsent = absentTenures.map((incarnation): Comparison => ({
      key: this.#keys.tenure(incarnation),
      kind: 'modRevision',
      modRevision: 0,
    }));
    return [unchanged, ...tenuresAbsent];
  }

  #createOwnerWrite({cell, epoch, owner}: CellRecord): Operation {
    return {
      key: this.#keys.cellOwner(brand(cell)),
      kind: 'put',
      value: encodeJson({epoch, owner}),
    };
  }

  async #resolveUnknownOutcome(changeId: string): Promise<ChangeOutcome> {
    const reading = await this.read();
    return reading.isOk() && reading.value.record.changeId === changeId ? 'committed' : 'unknown';
  }

  #createTenureWrites(tenure: TenureWrite | undefined): readonly Operation[] {
    if (tenure === undefined) {
      return [];
    }
    const key = this.#keys.tenure(brand(tenure.record.incarnation));
    return [{key, kind: 'put', lease: tenure.lease, value: encodeJson(tenure.record)}];
  }
}
