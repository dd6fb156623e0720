/** Queues of requests that wait for a slot of one service. */

import type {EntryId, Instant, RequestId, TeamId} from '@nutmegproxy/core';
import type {WorkClass} from '@nutmegproxy/schema';

import {DeadlineQueue} from './DeadlineQueue.ts';
import {FirstComeQueue} from './FirstComeQueue.ts';

/** A request for a slot. */
export interface WaitingRequest {
  readonly arrivedAt: Instant;
  readonly class: WorkClass;
  readonly deadline: Instant;
  readonly entry: EntryId;
  readonly id: RequestId;
  readonly team: TeamId;
}

/** Limits that the queue reads at each decision; `Infinity` means no limit. */
export interface QueueLimits {
  /** Maximum number of the entry's requests that this process may run at minions. */
  entryConcurrency(entry: EntryId): number;
  /** Maximum number of the entry's requests that may wait in this process. */
  entryQueue(entry: EntryId): number;
  /** Slots of the service that this process may use now. */
  slots(): number;
  /** Maximum number of the team's requests that this process may run at minions. */
  teamConcurrency(team: TeamId): number;
}

/** Why a request was refused; `no-share` means that this process has no share of a limit. */
export interface QueueRefusal {
  readonly kind: 'entry-queue-full' | 'no-share' | 'queue-full' | 'too-late';
  /** Time after which a retry may succeed. */
  readonly retryAfterMs: number;
}

/**
 * Waiting requests, and a count of those taken and not yet finished. The queue starts nothing by
 * itself: its user calls `take` whenever a slot is free.
 */
export interface RequestQueue {
  /** Removes a waiting request; returns false when it is not waiting. */
  cancel(id: RequestId): boolean;
  /** Removes and returns requests that would miss their deadline even if granted a slot now. */
  dropLate(now: Instant): readonly WaitingRequest[];
  /** Finishes a request returned by `take`; `serviceMs` is its service time, if it was measured. */
  finish(request: WaitingRequest, serviceMs: number | undefined): void;
  /** Adds a request, or returns why it was refused. */
  offer(request: WaitingRequest, now: Instant): QueueRefusal | undefined;
  /** Predicts the wait in milliseconds of a request that would arrive now. */
  predictWaitMs(request: WaitingRequest, now: Instant): number;
  /** Reevaluates which entries and teams are at their limit, after limits have changed. */
  refreshLimits(): void;
  readonly size: number;
  /** Removes and returns the next request, or undefined when all waiting ones are at a limit. */
  take(now: Instant): undefined | WaitingRequest;
}

/** Names of the queue policies, as used in the settings. */
export type QueuePolicy = 'deadline' | 'first-come';

/** Queue policies by name. `first-come` is the baseline for comparisons. */
export const REQUEST_QUEUES: Record<QueuePolicy, (limits: QueueLimits) => RequestQueue> = {
  deadline: (limits) => new DeadlineQueue(limits),
  'first-come': (limits) => new FirstComeQueue(limits),
};
