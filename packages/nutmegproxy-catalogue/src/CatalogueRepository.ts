/** Reads catalogue revisions from the platform's store and commits changes to it. */

import type {TeamId} from '@nutmegproxy/core';
import type {CatalogueRecord, PlansPart, TeamPart, Validator} from '@nutmegproxy/schema';
import type {
  Operation,
  OperationResponse,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {validateCatalogueRecord, validatePlansPart, validateTeamPart} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';

import type {CatalogueDelta, CatalogueSnapshot} from './CatalogueSnapshot.ts';

import {
  HISTORY_LENGTH,
  MAX_CATCH_UP_REVISIONS,
  MAX_TEAM_READS,
  TEAMS_PER_TRANSACTION,
} from './CatalogueConstants.ts';
import {CatalogueKeys} from './CatalogueKeys.ts';

/** `moved`: the head changed while the parts were read; the reader retries. */
export interface RepositoryFailure {
  readonly kind: 'malformed' | 'moved' | StoreFailure['kind'];
  readonly message: string;
}

/** The head record in the store; `modRevision` is 0 before the first accepted change. */
export interface CatalogueHead {
  readonly modRevision: number;
  readonly record: CatalogueRecord | undefined;
}

/** Result of a commit. */
export type CommitOutcome =
  {readonly head: CatalogueHead; readonly kind: 'conflict'} | {readonly kind: 'committed'};

/** A change to commit, with the store's revision of the head key that it is based on. */
export interface PreparedChange {
  readonly delta: CatalogueDelta;
  readonly headModRevision: number;
}

const MALFORMED: RepositoryFailure = {
  kind: 'malformed',
  message: 'catalogue data in the store does not match the schema',
};

function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

function decode<Value>(
  stored: StoredValue | undefined,
  validator: Validator<Value>,
): Result<undefined | Value, RepositoryFailure> {
  if (stored === undefined) {
    return ok(undefined);
  }
  try {
    const value: unknown = JSON.parse(stored.value.toString('utf8'));
    return validator(value) ? ok(value) : err(MALFORMED);
  } catch {
    return err(MALFORMED);
  }
}

function getValues(result: OperationResponse | undefined): readonly StoredValue[] {
  return result?.kind === 'get' ? result.values : [];
}

function decodeAll<Value>(
  values: readonly StoredValue[],
  validator: Validator<Value>,
): Result<readonly Value[], RepositoryFailure> {
  const found: Value[] = [];
  for (const stored of values) {
    const value = decode(stored, validator);
    if (value.isErr()) {
      return err(value.error);
    }
    if (value.value !== undefined) {
      found.push(value.value);
    }
  }
  return ok(found);
}

/** Counts the distinct teams that the changes modify or remove. */
function countChangedTeams(records: readonly CatalogueRecord[]): number {
  return new Set(records.flatMap((each) => [...each.changedTeams, ...each.removedTeams])).size;
}

/** Groups operations into nested transactions, because the store limits the operations in each. */
function nestOperations(operations: readonly Operation[]): Operation[] {
  const starts = Array.from(
    {length: Math.ceil(operations.length / TEAMS_PER_TRANSACTION)},
    (_, index) => index * TEAMS_PER_TRANSACTION,
  );
  return starts.map((start) => {
    const then = operations.slice(start, start + TEAMS_PER_TRANSACTION);
    return {kind: 'transaction', transaction: {compare: [], then}};
  });
}

/** Reads and writes the catalogue's keys. */
export class CatalogueRepository {
  readonly keys: CatalogueKeys;
  readonly #store: PlatformStore;

  constructor(store: PlatformStore, prefix: string) {
    this.keys = new CatalogueKeys(prefix);
    this.#store = store;
  }

  /**
   * Commits a change if the head is unchanged since the change was prepared. Safe to retry when no
   * response was received: the condition on the head lets the change take effect only once, and its
   * id in the history shows that it was committed.
   */
  async commit(change: PreparedChange): Promise<Result<CommitOutcome, RepositoryFailure>> {
    const {record} = change.delta;
    const result = await this.#store.commit(this.#createTransaction(change));
    if (result.isErr()) {
      return err(result.error);
    }
    if (result.value.succeeded) {
      return ok({kind: 'committed'});
    }
    const [headResult, historyResult] = result.value.responses;
    const history = decode(getValues(historyResult)[0], validateCatalogueRecord);
    if (history.isOk() && history.value?.change === record.change) {
      return ok({kind: 'committed'});
    }
    const stored = getValues(headResult)[0];
    return decode(stored, validateCatalogueRecord).map((head) => ({
      head: {modRevision: stored?.modRevision ?? 0, record: head},
      kind: 'conflict',
    }));
  }

  async readHead(): Promise<Result<CatalogueHead, RepositoryFailure>> {
    const get: Operation = {key: this.keys.head, kind: 'get'};
    const result = await this.#store.commit({compare: [], then: [get]});
    if (result.isErr()) {
      return err(result.error);
    }
    const stored = getValues(result.value.responses[0])[0];
    return decode(stored, validateCatalogueRecord).map((record) => ({
      modRevision: stored?.modRevision ?? 0,
      record,
    }));
  }

  /** Reads the accepted changes, newest first. */
  async readHistory(): Promise<Result<readonly CatalogueRecord[], RepositoryFailure>> {
    const get: Operation = {key: this.keys.historyPrefix, kind: 'get', prefix: true};
    const result = await this.#store.commit({compare: [], then: [get]});
    if (result.isErr()) {
      return err(result.error);
    }
    const records = decodeAll(getValues(result.value.responses[0]), validateCatalogueRecord);
    return records.map((found) => [...found].sort((a, b) => b.revision - a.revision));
  }

  /** Reads the delta from `snapshot` to `head`: the changed teams if known, otherwise all teams. */
  async readDelta(
    snapshot: CatalogueSnapshot,
    head: CatalogueHead,
  ): Promise<Result<CatalogueDelta | undefined, RepositoryFailure>> {
    if (head.record === undefined || head.record.revision <= snapshot.revision) {
      return ok(undefined);
    }
    const records = await this.#readRecords(snapshot.revision, head.record);
    if (records.isErr()) {
      return err(records.error);
    }
    return records.value === undefined
      ? this.#readAllTeams(head)
      : this.#readChangedTeams(head, snapshot.revision, records.value);
  }

  async #readChangedTeams(
    head: CatalogueHead,
    since: number,
    records: readonly CatalogueRecord[],
  ): Promise<Result<CatalogueDelta | undefined, RepositoryFailure>> {
    const teamIds = records.flatMap((each) => [...each.changedTeams, ...each.removedTeams]);
    const teams = [...new Set(teamIds)].map((team) => brand<TeamId>(team));
    const gets = teams.map<Operation>((team) => ({key: this.keys.team(team), kind: 'get'}));
    return this.#readParts(head, since, gets, (results) => {
      const missing = teams.filter((_, index) => getValues(results[index]).length === 0);
      return {removed: missing, values: results.flatMap((each) => [...getValues(each)])};
    });
  }

  async #readParts(
    head: CatalogueHead,
    since: number,
    gets: readonly Operation[],
    split: (results: readonly OperationResponse[]) => {
      readonly removed: readonly TeamId[];
      readonly values: readonly StoredValue[];
    },
  ): Promise<Result<CatalogueDelta | undefined, RepositoryFailure>> {
    const result = await this.#store.commit({
      compare: [{key: this.keys.head, kind: 'modRevision', modRevision: head.modRevision}],
      then: [{key: this.keys.plans, kind: 'get'}, ...gets],
    });
    if (result.isErr()) {
      return err(result.error);
    }
    if (!result.value.succeeded || head.record === undefined) {
      return err({kind: 'moved', message: 'the catalogue changed while it was read'});
    }
    const record = head.record;
    const [plansResult, ...rest] = result.value.responses;
    const {removed, values} = split(rest);
    return decode<PlansPart>(getValues(plansResult)[0], validatePlansPart).andThen((plans) =>
      decodeAll<TeamPart>(values, validateTeamPart).map((teams) => ({
        record,
        removed,
        since,
        teams,
        ...(plans === undefined ? {} : {plans}),
      })),
    );
  }

  /** Reads the records after `since` up to the head; undefined if all teams should be read. */
  async #readRecords(
    since: number,
    head: CatalogueRecord,
  ): Promise<Result<readonly CatalogueRecord[] | undefined, RepositoryFailure>> {
    if (since === head.revision - 1) {
      return ok(countChangedTeams([head]) <= MAX_TEAM_READS ? [head] : undefined);
    }
    if (since === 0 || head.revision - since > MAX_CATCH_UP_REVISIONS) {
      return ok(undefined);
    }
    const revisions = Array.from({length: head.revision - since}, (_, i) => since + 1 + i);
    const then = revisions.map<Operation>((revision) => ({
      key: this.keys.history(revision),
      kind: 'get',
    }));
    const result = await this.#store.commit({compare: [], then});
    if (result.isErr()) {
      return err(result.error);
    }
    const values = result.value.responses.flatMap((each) => [...getValues(each)]);
    return decodeAll(values, validateCatalogueRecord).map((records) => {
      const isComplete = records.length === revisions.length;
      return isComplete && countChangedTeams(records) <= MAX_TEAM_READS ? records : undefined;
    });
  }

  async #readAllTeams(
    head: CatalogueHead,
  ): Promise<Result<CatalogueDelta | undefined, RepositoryFailure>> {
    const get: Operation = {key: this.keys.teamPrefix, kind: 'get', prefix: true};
    return this.#readParts(head, 0, [get], (results) => ({
      removed: [],
      values: getValues(results[0]),
    }));
  }

  #createTransaction({delta, headModRevision}: PreparedChange): Transaction {
    const {plans, record, removed, teams} = delta;
    const {keys} = this;
    const historyKey = keys.history(record.revision);
    const expired = record.revision - HISTORY_LENGTH;
    const put = (key: string, value: unknown): Operation => ({
      key,
      kind: 'put',
      value: encode(value),
    });
    return {
      compare: [{key: keys.head, kind: 'modRevision', modRevision: headModRevision}],
      otherwise: [
        {key: keys.head, kind: 'get'},
        {key: historyKey, kind: 'get'},
      ],
      then: [
        put(keys.head, record),
        put(historyKey, record),
        ...nestOperations([
          ...teams.map((part) => put(keys.team(brand<TeamId>(part.team.id)), part)),
          ...removed.map<Operation>((team) => ({key: keys.team(team), kind: 'delete'})),
        ]),
        ...(plans === undefined ? [] : [put(keys.plans, plans)]),
        ...(expired > 0 ? [{key: keys.history(expired), kind: 'delete'} as const] : []),
      ],
    };
  }
}
