/**
 * Queue by class and deadline. Requests are kept in a heap per entry, entries in a heap per team and
 * teams in a heap per class. An entry or team at its limit is removed from its parent heap, so that
 * each operation takes logarithmic time.
 */

import type {EntryId, Instant, RequestId, TeamId} from '@nutmegproxy/core';
import type {WorkClass} from '@nutmegproxy/schema';

import type {QueueLimits, QueueRefusal, RequestQueue, WaitingRequest} from './RequestQueue.ts';

import {
  BATCH_AGE_MS,
  LATENCY_GRANTS_PER_AGED_BATCH,
  QUEUE_LENGTH_MAX,
  SERVICE_TIME_DEVIATIONS_MAX,
  SERVICE_TIME_DEVIATIONS_MIN,
  WAIT_MARGIN,
} from './AdmissionConstants.ts';
import {DeadlineRank} from './DeadlineRank.ts';
import {GrantRate} from './GrantRate.ts';
import {IndexedHeap} from './IndexedHeap.ts';
import {QueueLoad} from './QueueLoad.ts';
import {ServiceTimes} from './ServiceTimes.ts';

interface QueuedRequest {
  readonly rankBucket: number;
  readonly request: WaitingRequest;
}

/** An entry and the team that owned it when the request arrived, since owners can change. */
type GroupKey = `${TeamId} ${EntryId}`;

function groupOf({entry, team}: WaitingRequest): GroupKey {
  return `${team} ${entry}`;
}

/** Requests of one class, grouped by team and entry. */
class ClassQueue {
  readonly groups = new Map<GroupKey, IndexedHeap<WaitingRequest>>();
  readonly grantRate = new GrantRate();
  readonly rank = new DeadlineRank();
  size = 0;
  readonly teamGroups = new Map<TeamId, IndexedHeap<GroupKey>>();
  readonly teams = new IndexedHeap<TeamId>();

  first(): undefined | WaitingRequest {
    const team = this.teams.peek()?.key;
    const group = team === undefined ? undefined : this.teamGroups.get(team)?.peek()?.key;
    return group === undefined ? undefined : this.groups.get(group)?.peek()?.key;
  }

  /** Updates the heap positions of a request's entry and team by their first deadline and limits. */
  refresh(request: WaitingRequest, load: QueueLoad): void {
    const group = groupOf(request);
    const requests = this.groups.get(group);
    const teamGroups = this.teamGroups.get(request.team) ?? new IndexedHeap<GroupKey>();
    const first = requests?.peek();
    if (requests !== undefined && first === undefined) {
      this.groups.delete(group);
    }
    if (first === undefined || load.isEntryBlocked(request.entry)) {
      teamGroups.delete(group);
    } else {
      teamGroups.set(group, first.priority);
    }
    this.#refreshTeam(request.team, teamGroups, load);
  }

  #refreshTeam(team: TeamId, groups: IndexedHeap<GroupKey>, load: QueueLoad): void {
    const first = groups.peek();
    if (first === undefined) {
      this.teamGroups.delete(team);
      this.teams.delete(team);
      return;
    }
    this.teamGroups.set(team, groups);
    if (load.isTeamBlocked(team)) {
      this.teams.delete(team);
      return;
    }
    this.teams.set(team, first.priority);
  }
}

/**
 * Serves latency-critical requests first, by earliest deadline; an aged batch request is served after
 * a bounded number of them. A request that would miss its deadline by the predicted wait is refused
 * at once.
 */
export class DeadlineQueue implements RequestQueue {
  readonly #classes: Record<WorkClass, ClassQueue> = {
    batch: new ClassQueue(),
    'latency-critical': new ClassQueue(),
  };
  #latencyGrants = 0;
  readonly #limits: QueueLimits;
  readonly #load: QueueLoad;
  readonly #serviceTimes = new ServiceTimes();
  readonly #waiting = new Map<RequestId, QueuedRequest>();

  constructor(limits: QueueLimits) {
    this.#limits = limits;
    this.#load = new QueueLoad(limits);
  }

  cancel(id: RequestId): boolean {
    const waiting = this.#waiting.get(id);
    if (waiting === undefined) {
      return false;
    }
    this.#remove(waiting);
    this.#refresh(waiting.request);
    return true;
  }

  dropLate(now: Instant): readonly WaitingRequest[] {
    const late: WaitingRequest[] = [];
    for (let next = this.#next(now); next !== undefined; next = this.#next(now)) {
      if (now + this.#serviceTimes.reserveMs(next, SERVICE_TIME_DEVIATIONS_MIN) < next.deadline) {
        break;
      }
      late.push(next);
      this.cancel(next.id);
    }
    return late;
  }

  finish(request: WaitingRequest, serviceMs: number | undefined): void {
    this.#load.finish(request, serviceMs);
    if (serviceMs !== undefined) {
      this.#serviceTimes.record(request.entry, serviceMs);
    }
    this.#refresh(request);
  }

  offer(request: WaitingRequest, now: Instant): QueueRefusal | undefined {
    if (this.#load.hasNoShare(request)) {
      return {kind: 'no-share', retryAfterMs: 0};
    }
    const waitMs = this.predictWaitMs(request, now);
    const kind = this.#refusalKind(request, waitMs, now);
    if (kind !== undefined) {
      return {kind, retryAfterMs: waitMs};
    }
    const queue = this.#classes[request.class];
    const requests = queue.groups.get(groupOf(request)) ?? new IndexedHeap<WaitingRequest>();
    requests.set(request, request.deadline);
    queue.groups.set(groupOf(request), requests);
    queue.size += 1;
    this.#load.countWaiting(request, 1);
    const rankBucket = queue.rank.add(request.deadline, now);
    this.#waiting.set(request.id, {rankBucket, request});
    this.#refresh(request);
    return undefined;
  }

  predictWaitMs(request: WaitingRequest, now: Instant): number {
    const {grantRate, rank} = this.#classes[request.class];
    const ahead = rank.ahead(request.deadline, now);
    const higherPriority = request.class === 'batch' ? this.#classes['latency-critical'].size : 0;
    const byCountMs = this.#load.predictWaitMs(ahead + higherPriority);
    const bySlotsMs =
      byCountMs === 0 ? 0 : Math.max(byCountMs, grantRate.predictWaitMs(ahead, now) ?? 0);
    const serviceMs = this.#serviceTimes.meanMs(request.entry);
    return Math.max(bySlotsMs, this.#load.predictLimitWaitMs(request, serviceMs));
  }

  refreshLimits(): void {
    for (const {request} of this.#waiting.values()) {
      this.#refresh(request);
    }
  }

  get size(): number {
    return this.#waiting.size;
  }

  take(now: Instant): undefined | WaitingRequest {
    const request = this.#next(now);
    const waiting = request === undefined ? undefined : this.#waiting.get(request.id);
    if (request === undefined || waiting === undefined) {
      return undefined;
    }
    this.#remove(waiting);
    this.#load.start(request);
    this.#refresh(request);
    const {grantRate, size} = this.#classes[request.class];
    if (size > 0) {
      grantRate.recordGrant(now);
    }
    this.#latencyGrants = request.class === 'batch' ? 0 : this.#latencyGrants + 1;
    return request;
  }

  #next(now: Instant): undefined | WaitingRequest {
    const latency = this.#classes['latency-critical'].first();
    const batch = this.#classes.batch.first();
    if (latency === undefined || batch === undefined) {
      return latency ?? batch;
    }
    const isAged = now - batch.arrivedAt >= BATCH_AGE_MS;
    return isAged && this.#latencyGrants >= LATENCY_GRANTS_PER_AGED_BATCH ? batch : latency;
  }

  #refresh(request: WaitingRequest): void {
    for (const queue of Object.values(this.#classes)) {
      queue.refresh(request, this.#load);
    }
  }

  #refusalKind(
    request: WaitingRequest,
    waitMs: number,
    now: Instant,
  ): QueueRefusal['kind'] | undefined {
    if (this.#waiting.size >= QUEUE_LENGTH_MAX) {
      return 'queue-full';
    }
    const sameEntry = this.#classes[request.class].groups.get(groupOf(request))?.size ?? 0;
    if (sameEntry >= this.#limits.entryQueue(request.entry)) {
      return 'entry-queue-full';
    }
    if (waitMs === 0) {
      return now >= request.deadline ? 'too-late' : undefined;
    }
    const serviceMs = this.#serviceTimes.reserveMs(request, SERVICE_TIME_DEVIATIONS_MAX);
    return now + WAIT_MARGIN * waitMs + serviceMs >= request.deadline ? 'too-late' : undefined;
  }

  #remove({rankBucket, request}: QueuedRequest): void {
    const queue = this.#classes[request.class];
    this.#waiting.delete(request.id);
    queue.groups.get(groupOf(request))?.delete(request);
    queue.rank.remove(rankBucket);
    queue.size -= 1;
    this.#load.countWaiting(request, -1);
    if (queue.size === 0) {
      // The grant rate is measured only while requests wait.
      queue.grantRate.pause();
    }
  }
}
