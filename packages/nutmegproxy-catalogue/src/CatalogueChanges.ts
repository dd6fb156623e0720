/** Validates operators' changes, commits each once and applies it. */

import type {ChangeId, EntryNode, Instant} from '@nutmegproxy/core';
import type {Catalogue} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {after, brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';

import type {CatalogueFault} from './CatalogueChecks.ts';
import type {CatalogueDiff, PlansContent} from './CatalogueDiff.ts';
import type {CatalogueFollower} from './CatalogueFollower.ts';
import type {CatalogueRepository, PreparedChange} from './CatalogueRepository.ts';
import type {CatalogueDelta, CatalogueSnapshot} from './CatalogueSnapshot.ts';
import type {CatalogueState} from './CatalogueState.ts';

import {checkCatalogue} from './CatalogueChecks.ts';
import {
  COMMIT_RETRY_DELAY_MS,
  COMMIT_TIMEOUT_MS,
  MAX_CHANGE_BYTES,
  MAX_CHANGED_TEAMS,
  MAX_PLAN_ATTEMPTS,
} from './CatalogueConstants.ts';
import {diffCatalogue, isEmptyDiff} from './CatalogueDiff.ts';
import {CATALOGUE_EVENTS} from './CatalogueEvents.ts';

/** An accepted change. */
export interface AcceptedChange {
  /** Undefined when the document equals the current revision. */
  readonly change?: ChangeId;
  readonly revision: number;
}

/** `unknown`: the change may still take effect; if it did, the history lists its id. */
export type ChangeFailure =
  | {readonly change: ChangeId; readonly kind: 'unknown'; readonly message: string}
  | {readonly current: number; readonly kind: 'conflict'}
  | {readonly faults: readonly CatalogueFault[]; readonly kind: 'invalid'}
  | {readonly kind: 'unavailable'; readonly message: string};

export interface ChangeServices {
  readonly follower: CatalogueFollower;
  readonly repository: CatalogueRepository;
  readonly state: CatalogueState;
}

interface ChangeBase {
  readonly headModRevision: number;
  readonly snapshot: CatalogueSnapshot;
}

function checkSize(diff: CatalogueDiff): Result<CatalogueDiff, ChangeFailure> {
  const teamCount = diff.changed.length + diff.removed.length;
  const bytes = JSON.stringify([diff.changed, diff.plans ?? {}]).length;
  if (teamCount <= MAX_CHANGED_TEAMS && bytes <= MAX_CHANGE_BYTES) {
    return ok(diff);
  }
  const expected = `expected a change of at most ${MAX_CHANGED_TEAMS} teams and ${MAX_CHANGE_BYTES} bytes, found ${teamCount} teams and ${bytes} bytes; apply it in parts`;
  return err({faults: [{expected, path: '/teams'}], kind: 'invalid'});
}

/** Applies operators' changes to the catalogue. */
export class CatalogueChanges {
  readonly #node: EntryNode;
  readonly #services: ChangeServices;

  constructor(node: EntryNode, services: ChangeServices) {
    this.#node = node;
    this.#services = services;
  }

  /** Commits `document` as the revision after `expectedRevision`, or returns why it failed. */
  async apply(
    document: unknown,
    expectedRevision: number,
    now: Instant,
  ): Promise<Result<AcceptedChange, ChangeFailure>> {
    const checked = checkCatalogue(document);
    if (checked.isErr()) {
      return err({faults: checked.error, kind: 'invalid'});
    }
    const base = await this.#readBase(expectedRevision);
    return base.isErr() ? err(base.error) : this.#commitDocument(base.value, checked.value, now);
  }

  /**
   * Edits the drains and stops of the newest revision. On a conflict it applies the edit again to
   * the newer revision, so that concurrent edits are kept.
   */
  async editPlans(
    edit: (plans: PlansContent) => PlansContent,
    now: Instant,
  ): Promise<Result<AcceptedChange, ChangeFailure>> {
    let current = this.#services.state.current().revision;
    for (let attempt = 0; attempt < MAX_PLAN_ATTEMPTS; attempt += 1) {
      const base = await this.#readBase(current);
      if (base.isOk()) {
        const document = base.value.snapshot.toDocument();
        const {drains, stops} = base.value.snapshot.plans;
        const edited = checkCatalogue({...document, ...edit({drains, stops})});
        const outcome = edited.isErr()
          ? err<never, ChangeFailure>({faults: edited.error, kind: 'invalid'})
          : await this.#commitDocument(base.value, edited.value, now);
        if (outcome.isOk() || outcome.error.kind !== 'conflict') {
          return outcome;
        }
        current = outcome.error.current;
      } else if (base.error.kind === 'conflict') {
        current = base.error.current;
      } else {
        return err(base.error);
      }
    }
    return err({current, kind: 'conflict'});
  }

  async #commitDocument(
    base: ChangeBase,
    document: Catalogue,
    now: Instant,
  ): Promise<Result<AcceptedChange, ChangeFailure>> {
    const diff = checkSize(diffCatalogue(base.snapshot, document));
    if (diff.isErr()) {
      return err(diff.error);
    }
    if (isEmptyDiff(diff.value)) {
      return ok({revision: base.snapshot.revision});
    }
    const delta = this.#createDelta(base.snapshot, diff.value);
    const prepared = {delta, headModRevision: base.headModRevision};
    const committed = await this.#commitWithRetries(prepared, now);
    return committed.map((change) => {
      const {revision} = delta.record;
      this.#node.events.record(CATALOGUE_EVENTS.COMMITTED, {change, revision});
      this.#services.state.install(delta, 'change');
      return {change, revision};
    });
  }

  async #commitWithRetries(
    prepared: PreparedChange,
    now: Instant,
  ): Promise<Result<ChangeId, ChangeFailure>> {
    const change = brand<ChangeId>(prepared.delta.record.change);
    const deadline = after(now, COMMIT_TIMEOUT_MS);
    let mayHaveCommitted = false;
    for (;;) {
      const outcome = await this.#services.repository.commit(prepared);
      if (outcome.isOk()) {
        if (outcome.value.kind === 'committed') {
          return ok(change);
        }
        const current = outcome.value.head.record?.revision ?? 0;
        this.#node.events.record(CATALOGUE_EVENTS.CONFLICT, {change, current});
        return err({current, kind: 'conflict'});
      }
      const {kind, message} = outcome.error;
      if (kind === 'unknown') {
        mayHaveCommitted = true;
        this.#node.events.record(CATALOGUE_EVENTS.RESPONSE_LOST, {change, message});
      }
      const mayRetry = kind === 'unknown' || kind === 'unavailable';
      if (!mayRetry || this.#node.clock.monotonic() >= deadline) {
        return mayHaveCommitted
          ? err({change, kind: 'unknown', message})
          : err({kind: 'unavailable', message});
      }
      await delay(COMMIT_RETRY_DELAY_MS);
    }
  }

  /** Reads the store's head and returns it with its snapshot; a conflict if not as expected. */
  async #readBase(expectedRevision: number): Promise<Result<ChangeBase, ChangeFailure>> {
    const {follower, repository, state} = this.#services;
    const head = await repository.readHead();
    if (head.isErr()) {
      return err({kind: 'unavailable', message: head.error.message});
    }
    const current = head.value.record?.revision ?? 0;
    if (state.current().revision < current) {
      await follower.refresh();
    }
    if (current !== expectedRevision) {
      return err({current, kind: 'conflict'});
    }
    const snapshot = state.current();
    return snapshot.revision === current
      ? ok({headModRevision: head.value.modRevision, snapshot})
      : err({
          kind: 'unavailable',
          message: 'this process has not received the current revision yet',
        });
  }

  #createDelta(snapshot: CatalogueSnapshot, diff: CatalogueDiff): CatalogueDelta {
    const revision = snapshot.revision + 1;
    const {changed, plans, removed} = diff;
    const record = {
      at: this.#node.clock.wall(),
      by: this.#node.identity.vm,
      change: randomUUID(),
      changedTeams: changed.map(({team}) => team.id),
      plans: plans !== undefined,
      removedTeams: [...removed],
      revision,
    };
    const teams = changed.map((content) => ({...content, revision}));
    const base = {record, removed, since: snapshot.revision, teams};
    return plans === undefined ? base : {...base, plans: {...plans, revision}};
  }
}
