/** Queues of requests that wait for a slot of one service. */

import type {EntryId, Instant, RequestId, TeamId} from '@nutmegproxy/core';
import type {WorkClass} from '@nutmegproxy/schema';

import {DeadlineQueue} from './DeadlineQueue.ts';
import {FirstComeQueue} from './FirstComeQueue.ts';

/** A request that wants a slot. */
export interface WaitingRequest {
  readonly arrivedAt: Instant;
  readonly class: WorkClass;
  readonly deadline: Instant;
  readonly entry: EntryId;
  readonly id: RequestId;
  readonly team: TeamId;
}

/** Limits that the queue asks for at each decision; `Infinity` where there is none. */
export interface QueueLimits {
  /** Requests of an entry at minions, for this process. */
  entryConcurrency(entry: EntryId): number;
  /** Requests of an entry that may wait, for this process. */
  entryQueue(entry: EntryId): number;
  /** Slots that this process may use for the service at present. */
  slots(): number;
  /** Requests of a team at minions, for this process. */
  teamConcurrency(team: TeamId): number;
}

/** Why a request may not wait; `no-share`: a limit leaves this process no part. */
export interface QueueRefusal {
  readonly kind: 'entry-queue-full' | 'no-share' | 'queue-full' | 'too-late';
  /** After how long another try may succeed. */
  readonly retryAfterMs: number;
}

/**
 * Requests that wait, and the count of those that were taken and not yet finished. Takes no
 * action by itself: the holder calls `take` whenever a slot is free.
 */
export interface RequestQueue {
  /** Takes out a waiting request; false when it waits no longer. */
  cancel(id: RequestId): boolean;
  /** Takes out waiting requests that would miss their deadline even if they were given a slot. */
  dropLate(now: Instant): readonly WaitingRequest[];
  /** Ends a request that `take` gave out, after `serviceMs` at the minion. */
  finish(request: WaitingRequest, serviceMs: number | undefined): void;
  /** Lets a request wait, or says at once why it may not. */
  offer(request: WaitingRequest, now: Instant): QueueRefusal | undefined;
  /** Expected wait in milliseconds of a request that would come now. */
  predictWaitMs(request: WaitingRequest, now: Instant): number;
  /** Limits have changed: entries and teams at their limit are looked at anew. */
  refreshLimits(): void;
  readonly size: number;
  /** The request that shall go next, or none when all that wait are at a limit. */
  take(now: Instant): undefined | WaitingRequest;
}

/** Names of the queue policies. */
export type QueuePolicy = 'deadline' | 'first-come';

/** The queue policies; `first-come` is the baseline. */
export const REQUEST_QUEUES: Record<QueuePolicy, (limits: QueueLimits) => RequestQueue> = {
  deadline: (limits) => new DeadlineQueue(limits),
  'first-come': (limits) => new FirstComeQueue(limits),
};
