/** Takes jobs and questions about them on any VM and brings them to the owner of a cell. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryNode, IncarnationId, NodeIdentity, TeamId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {
  Entry,
  JobStatus,
  JobSubmission,
  Resources,
  TaskJobAnswer,
  TaskJobQuery,
  TaskSubmit,
  TaskSubmitAnswer,
  Validator,
} from '@nutmegproxy/schema';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDirectory} from '@nutmegproxy/workers';

import {
  validateJobStatus,
  validateTaskJobAnswer,
  validateTaskSubmitAnswer,
} from '@nutmegproxy/schema';

import type {OwnerParser} from './CellRecovery.ts';
import type {JobLocator} from './JobIds.ts';
import type {JobService} from './JobService.ts';
import type {CellOffer, SummaryBoard} from './SummaryBoard.ts';

import {declaredOf} from './Cell.ts';
import {recoverCell} from './CellRecovery.ts';
import {concurrencyShare} from './ConcurrencyShares.ts';
import {hashKey, parseJobId} from './JobIds.ts';
import {statusOf} from './JobService.ts';
import {defined} from './ObjectUtils.ts';
import {cellName, knownCells, quotaShare} from './QuotaShares.ts';
import {parseJson} from './StoredUtils.ts';
import {CellKeys} from './TaskKeys.ts';
import {PEER_TIMEOUT_MS} from './TasksConstants.ts';

export const SUBMIT_MESSAGE = 'tasks/submit';
export const QUERY_MESSAGE = 'tasks/query';
export const SUMMARIES_MESSAGE = 'tasks/summaries';

/** What the router works with. */
export interface RouterServices {
  readonly board: SummaryBoard;
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly jobs: JobService;
  readonly keyPrefix: string;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly node: EntryNode;
  readonly parseOwner: OwnerParser;
  readonly store: PlatformStore;
}

/** Answer to a question about a job. */
export type JobAnswer =
  | {readonly kind: 'found'; readonly status: JobStatus}
  | {readonly kind: 'missing'}
  | {readonly kind: 'not-accepted'};

const MAX_CELLS_TRIED = 3;

/** Answers after which another cell may be asked: the job was certainly not accepted there. */
const TRY_NEXT: Record<TaskSubmitAnswer['kind'], boolean> = {
  accepted: false,
  exists: false,
  impossible: false,
  'not-accepted': false,
  'not-owner': true,
  unknown: false,
};

/** Routes submissions and queries. */
export class JobRouter {
  #readingStore = false;
  readonly #services: RouterServices;

  constructor(services: RouterServices) {
    this.#services = services;
  }

  async cancel(id: string): Promise<JobAnswer> {
    const locator = parseJobId(id);
    if (!locator) {
      return {kind: 'missing'};
    }
    const answer = await this.#query(locator, {action: 'cancel', cell: locator.cell, job: id});
    return answer ?? {kind: 'not-accepted'};
  }

  /** A job's state from its owner or, while that is out of reach, as the store has it. */
  async read(id: string): Promise<JobAnswer> {
    const locator = parseJobId(id);
    if (!locator) {
      return {kind: 'missing'};
    }
    const answer = await this.#query(locator, {action: 'read', cell: locator.cell, job: id});
    return answer ?? (await this.#readStore(locator, id));
  }

  /** Accepts a job in the cell with the most room. The same key always gives the same job. */
  async submit(submission: JobSubmission, key: string): Promise<TaskSubmitAnswer> {
    const entry = this.#services.catalogue.current().entries.get(submission.entry as never);
    if (entry?.kind !== 'task') {
      return {kind: 'impossible', reason: 'the catalogue has no such entry of kind task'};
    }
    const impossible = this.#impossible(entry);
    if (impossible !== undefined) {
      return {kind: 'impossible', reason: impossible};
    }
    const {count = 1, input} = submission;
    const message = defined({count, entry: entry.id, input, key: hashKey(entry.id, key)});
    let answer: TaskSubmitAnswer = {kind: 'not-accepted', reason: 'no cell has an owner in reach'};
    for (const offer of this.#offers(entry).slice(0, MAX_CELLS_TRIED)) {
      // Counted at once, so that jobs that come together do not all choose the same cell.
      this.#services.board.noteAssigned(offer, count * declaredOf(entry).cpu);
      answer = await this.#submitTo(offer, {...message, cell: offer.cell});
      if (!TRY_NEXT[answer.kind]) {
        return answer;
      }
    }
    return answer.kind === 'not-owner'
      ? {kind: 'not-accepted', reason: 'no cell has an owner in reach'}
      : answer;
  }

  async #ask<Answer>(
    owner: NodeIdentity,
    type: string,
    body: unknown,
    validate: Validator<Answer>,
  ): Promise<'unknown' | 'unreachable' | Answer> {
    const {incarnation, vm} = owner;
    const message = {body, type};
    const result = await this.#services.mesh.request(vm, incarnation, message, PEER_TIMEOUT_MS);
    if (result.isErr()) {
      return result.error.kind === 'unknown' ? 'unknown' : 'unreachable';
    }
    return validate(result.value) ? result.value : 'unknown';
  }

  /** Why a task of the entry can't run anywhere; undefined when it can, or nothing is known. */
  #impossible(entry: Entry): string | undefined {
    const declared = declaredOf(entry);
    const view = this.#services.catalogue.current();
    const quota = view.teams.get(entry.owner as TeamId)?.quota;
    const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
    if (kinds.some((kind) => declared[kind] > (quota?.[kind] ?? Infinity))) {
      return "one task is larger than its team's quota";
    }
    const capacities = this.#services.directory
      .vms()
      .flatMap(({capacity, role}) => (role === 'worker' && capacity ? [capacity] : []));
    const fits = capacities.some((each) => kinds.every((kind) => declared[kind] <= each[kind]));
    return fits || capacities.length === 0 ? undefined : 'one task is larger than every worker';
  }

  #isSelf(identity: NodeIdentity): boolean {
    return identity.incarnation === this.#services.node.identity.incarnation;
  }

  /** Cells that can hold a task of the entry and have shares of its concurrency and its team's quota. */
  #offers(entry: Entry): CellOffer[] {
    const {board, catalogue, directory, node} = this.#services;
    const view = catalogue.current();
    const team = view.teams.get(entry.owner as TeamId);
    const cells = knownCells(directory.vms());
    const declared = declaredOf(entry);
    return board
      .offers(node.identity.dataCentre, node.clock.monotonic())
      .filter(({cell, dataCentre, summary}) => {
        const name = cellName(dataCentre, cell);
        const share = team && quotaShare(team, view, cells, name);
        const mayRun = concurrencyShare(entry, cells, dataCentre, name) > 0;
        return mayRun && fits(declared, summary.largest) && fits(declared, share);
      });
  }

  #owner(locator: JobLocator): NodeIdentity | undefined {
    const {board, membership, node} = this.#services;
    const allotment = membership.allotment();
    const ownership = allotment?.cells.get(locator.cell);
    const member = ownership && allotment?.members.get(ownership.owner);
    if (locator.dataCentre !== node.identity.dataCentre || !member) {
      return board.owner(locator.dataCentre, locator.cell);
    }
    const {incarnation, vm} = member;
    return {...node.identity, incarnation: incarnation satisfies IncarnationId, vm};
  }

  async #query(locator: JobLocator, query: TaskJobQuery): Promise<JobAnswer | undefined> {
    const owner = this.#owner(locator);
    if (!owner) {
      return undefined;
    }
    const answer: 'unknown' | 'unreachable' | TaskJobAnswer = this.#isSelf(owner)
      ? await this.#services.jobs.query(query)
      : await this.#ask(owner, QUERY_MESSAGE, query, validateTaskJobAnswer);
    if (typeof answer === 'string' || answer.kind === 'not-owner') {
      return undefined;
    }
    if (answer.kind !== 'found') {
      return {kind: answer.kind};
    }
    const status = parseJson(answer.status ?? '', validateJobStatus);
    return status && {kind: 'found', status};
  }

  async #readStore(locator: JobLocator, id: string): Promise<JobAnswer> {
    // One replay at a time bounds what such reads cost.
    if (this.#readingStore) {
      return {kind: 'not-accepted'};
    }
    this.#readingStore = true;
    const {keyPrefix, parseOwner, store} = this.#services;
    const keys = new CellKeys(keyPrefix, locator.dataCentre, locator.cell);
    const recovered = await recoverCell(store, keys, parseOwner);
    this.#readingStore = false;
    if (recovered.isErr()) {
      return {kind: 'not-accepted'};
    }
    const job = recovered.value.table.jobs.get(id);
    return job ? {kind: 'found', status: {...statusOf(job), stale: true}} : {kind: 'missing'};
  }

  async #submitTo(offer: CellOffer, submit: TaskSubmit): Promise<TaskSubmitAnswer> {
    if (this.#isSelf(offer.owner)) {
      return this.#services.jobs.accept(submit);
    }
    const answer = await this.#ask(offer.owner, SUBMIT_MESSAGE, submit, validateTaskSubmitAnswer);
    if (answer === 'unreachable') {
      return {kind: 'not-owner'};
    }
    if (answer === 'unknown') {
      return {kind: 'unknown', reason: "the cell's owner has not answered"};
    }
    return answer;
  }
}

function fits(declared: Resources, limit: Partial<Resources> | undefined): boolean {
  const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
  return kinds.every((kind) => declared[kind] <= (limit?.[kind] ?? Infinity));
}
