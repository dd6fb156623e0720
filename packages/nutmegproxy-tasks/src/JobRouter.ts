/** Routes submissions and job queries from any VM to the owner of a cell. */

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

import type {CellCandidate, CellDirectory} from './CellDirectory.ts';
import type {OwnerParser} from './CellRecovery.ts';
import type {JobLocator} from './JobIds.ts';
import type {JobService} from './JobService.ts';

import {getDeclaredResources} from './Cell.ts';
import {recoverCell} from './CellRecovery.ts';
import {computeConcurrencyShare} from './ConcurrencyShares.ts';
import {hashKey, parseJobId} from './JobIds.ts';
import {toJobStatus} from './JobService.ts';
import {omitUndefined} from './ObjectUtils.ts';
import {computeQuotaShare, formatCellName, listCells} from './QuotaShares.ts';
import {parseJson} from './StoredUtils.ts';
import {CellKeys} from './TaskKeys.ts';
import {PEER_TIMEOUT_MS} from './TasksConstants.ts';

export const SUBMIT_MESSAGE = 'tasks/submit';
export const QUERY_MESSAGE = 'tasks/query';
export const SUMMARIES_MESSAGE = 'tasks/summaries';

/** Services that the router uses. */
export interface RouterServices {
  readonly catalogue: CatalogueSource;
  readonly cellDirectory: CellDirectory;
  readonly directory: VmDirectory;
  readonly jobs: JobService;
  readonly keyPrefix: string;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly node: EntryNode;
  readonly parseOwner: OwnerParser;
  readonly store: PlatformStore;
}

/** Result of a query about a job. */
export type JobResponse =
  | {readonly kind: 'found'; readonly status: JobStatus}
  | {readonly kind: 'missing'}
  | {readonly kind: 'not-accepted'};

const MAX_CELLS_PER_SUBMISSION = 3;

/** Whether another cell is tried after a response: only when the job was certainly not accepted. */
const TRIES_NEXT_CELL: Record<TaskSubmitAnswer['kind'], boolean> = {
  accepted: false,
  exists: false,
  impossible: false,
  'not-accepted': false,
  'not-owner': true,
  unknown: false,
};

/** Routes submissions and queries. */
export class JobRouter {
  #isReadingStore = false;
  readonly #services: RouterServices;

  constructor(services: RouterServices) {
    this.#services = services;
  }

  async cancel(id: string): Promise<JobResponse> {
    const locator = parseJobId(id);
    if (!locator) {
      return {kind: 'missing'};
    }
    const response = await this.#query(locator, {action: 'cancel', cell: locator.cell, job: id});
    return response ?? {kind: 'not-accepted'};
  }

  /** Reads a job's state from its owner or, while the owner is unreachable, from the store. */
  async read(id: string): Promise<JobResponse> {
    const locator = parseJobId(id);
    if (!locator) {
      return {kind: 'missing'};
    }
    const response = await this.#query(locator, {action: 'read', cell: locator.cell, job: id});
    return response ?? (await this.#readFromStore(locator, id));
  }

  /** Submits a job to the cell with the most free capacity. A key always returns the same job. */
  async submit(submission: JobSubmission, key: string): Promise<TaskSubmitAnswer> {
    const entry = this.#services.catalogue.current().entries.get(submission.entry as never);
    if (entry?.kind !== 'task') {
      return {kind: 'impossible', reason: 'the catalogue has no such entry of kind task'};
    }
    const impossibleReason = this.#findImpossibleReason(entry);
    if (impossibleReason !== undefined) {
      return {kind: 'impossible', reason: impossibleReason};
    }
    const {count = 1, input} = submission;
    const message = omitUndefined({count, entry: entry.id, input, key: hashKey(entry.id, key)});
    let response: TaskSubmitAnswer = {
      kind: 'not-accepted',
      reason: 'no cell has an owner in reach',
    };
    for (const candidate of this.#listCandidates(entry).slice(0, MAX_CELLS_PER_SUBMISSION)) {
      // Counted before the submission, so that concurrent jobs do not all choose the same cell.
      this.#services.cellDirectory.addAssignedCpu(
        candidate,
        count * getDeclaredResources(entry).cpu,
      );
      response = await this.#submitTo(candidate, {...message, cell: candidate.cell});
      if (!TRIES_NEXT_CELL[response.kind]) {
        return response;
      }
    }
    return response.kind === 'not-owner'
      ? {kind: 'not-accepted', reason: 'no cell has an owner in reach'}
      : response;
  }

  async #request<Response>(
    owner: NodeIdentity,
    type: string,
    body: unknown,
    validate: Validator<Response>,
  ): Promise<'unknown' | 'unreachable' | Response> {
    const {incarnation, vm} = owner;
    const message = {body, type};
    const result = await this.#services.mesh.request(vm, incarnation, message, PEER_TIMEOUT_MS);
    if (result.isErr()) {
      return result.error.kind === 'unknown' ? 'unknown' : 'unreachable';
    }
    return validate(result.value) ? result.value : 'unknown';
  }

  /** Reason why no worker can run a task of the entry; undefined if one can or none is known. */
  #findImpossibleReason(entry: Entry): string | undefined {
    const declared = getDeclaredResources(entry);
    const view = this.#services.catalogue.current();
    const quota = view.teams.get(entry.owner as TeamId)?.quota;
    const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
    if (kinds.some((kind) => declared[kind] > (quota?.[kind] ?? Infinity))) {
      return "one task is larger than its team's quota";
    }
    const capacities = this.#services.directory
      .vms()
      .flatMap(({capacity, role}) => (role === 'worker' && capacity ? [capacity] : []));
    const isPlaceable = capacities.some((each) =>
      kinds.every((kind) => declared[kind] <= each[kind]),
    );
    return isPlaceable || capacities.length === 0
      ? undefined
      : 'one task is larger than every worker';
  }

  #isLocal(identity: NodeIdentity): boolean {
    return identity.incarnation === this.#services.node.identity.incarnation;
  }

  /** Cells that fit a task of the entry and have shares of its concurrency and its team's quota. */
  #listCandidates(entry: Entry): CellCandidate[] {
    const {catalogue, cellDirectory, directory, node} = this.#services;
    const view = catalogue.current();
    const team = view.teams.get(entry.owner as TeamId);
    const cells = listCells(directory.vms());
    const declared = getDeclaredResources(entry);
    return cellDirectory
      .listCandidates(node.identity.dataCentre, node.clock.monotonic())
      .filter(({cell, dataCentre, summary}) => {
        const name = formatCellName(dataCentre, cell);
        const share = team && computeQuotaShare(team, view, cells, name);
        const mayRun = computeConcurrencyShare(entry, cells, dataCentre, name) > 0;
        return mayRun && isWithin(declared, summary.largest) && isWithin(declared, share);
      });
  }

  #owner(locator: JobLocator): NodeIdentity | undefined {
    const {cellDirectory, membership, node} = this.#services;
    const allotment = membership.allotment();
    const ownership = allotment?.cells.get(locator.cell);
    const member = ownership && allotment?.members.get(ownership.owner);
    if (locator.dataCentre !== node.identity.dataCentre || !member) {
      return cellDirectory.owner(locator.dataCentre, locator.cell);
    }
    const {incarnation, vm} = member;
    return {...node.identity, incarnation: incarnation satisfies IncarnationId, vm};
  }

  async #query(locator: JobLocator, query: TaskJobQuery): Promise<JobResponse | undefined> {
    const owner = this.#owner(locator);
    if (!owner) {
      return undefined;
    }
    const response: 'unknown' | 'unreachable' | TaskJobAnswer = this.#isLocal(owner)
      ? await this.#services.jobs.query(query)
      : await this.#request(owner, QUERY_MESSAGE, query, validateTaskJobAnswer);
    if (typeof response === 'string' || response.kind === 'not-owner') {
      return undefined;
    }
    if (response.kind !== 'found') {
      return {kind: response.kind};
    }
    const status = parseJson(response.status ?? '', validateJobStatus);
    return status && {kind: 'found', status};
  }

  async #readFromStore(locator: JobLocator, id: string): Promise<JobResponse> {
    // Only one replay runs at a time, which bounds the cost of these reads.
    if (this.#isReadingStore) {
      return {kind: 'not-accepted'};
    }
    this.#isReadingStore = true;
    const {keyPrefix, parseOwner, store} = this.#services;
    const keys = new CellKeys(keyPrefix, locator.dataCentre, locator.cell);
    const recovered = await recoverCell(store, keys, parseOwner);
    this.#isReadingStore = false;
    if (recovered.isErr()) {
      return {kind: 'not-accepted'};
    }
    const job = recovered.value.table.jobs.get(id);
    return job ? {kind: 'found', status: {...toJobStatus(job), stale: true}} : {kind: 'missing'};
  }

  async #submitTo(candidate: CellCandidate, submit: TaskSubmit): Promise<TaskSubmitAnswer> {
    if (this.#isLocal(candidate.owner)) {
      return this.#services.jobs.accept(submit);
    }
    const response = await this.#request(
      candidate.owner,
      SUBMIT_MESSAGE,
      submit,
      validateTaskSubmitAnswer,
    );
    if (response === 'unreachable') {
      return {kind: 'not-owner'};
    }
    if (response === 'unknown') {
      return {kind: 'unknown', reason: "the cell's owner has not answered"};
    }
    return response;
  }
}

function isWithin(declared: Resources, limit: Partial<Resources> | undefined): boolean {
  const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
  return kinds.every((kind) => declared[kind] <= (limit?.[kind] ?? Infinity));
}
