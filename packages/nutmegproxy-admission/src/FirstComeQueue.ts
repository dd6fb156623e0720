/** Baseline queue: first come, first served, regardless of class. */

import type {EntryId, Instant, RequestId} from '@nutmegproxy/core';

import type {QueueLimits, QueueRefusal, RequestQueue, WaitingRequest} from './RequestQueue.ts';

import {QUEUE_LENGTH_MAX} from './AdmissionConstants.ts';
import {QueueLoad} from './QueueLoad.ts';

/** Serves in the order of arrival, skips requests at a limit, and refuses none for its deadline. */
export class FirstComeQueue implements RequestQueue {
  readonly #limits: QueueLimits;
  readonly #load: QueueLoad;
  readonly #waiting = new Map<RequestId, WaitingRequest>();
  readonly #waitingByEntry = new Map<EntryId, number>();

  constructor(limits: QueueLimits) {
    this.#limits = limits;
    this.#load = new QueueLoad(limits);
  }

  cancel(id: RequestId): boolean {
    const request = this.#waiting.get(id);
    if (request === undefined) {
      return false;
    }
    this.#remove(request);
    return true;
  }

  /** Drops nothing; always returns an empty list. */
  dropLate(): readonly WaitingRequest[] {
    return [];
  }

  finish(request: WaitingRequest, serviceMs: number | undefined): void {
    this.#load.finish(request, serviceMs);
  }

  offer(request: WaitingRequest): QueueRefusal | undefined {
    if (this.#load.hasNoShare(request)) {
      return {kind: 'no-share', retryAfterMs: 0};
    }
    const retryAfterMs = this.predictWaitMs();
    if (this.#waiting.size >= QUEUE_LENGTH_MAX) {
      return {kind: 'queue-full', retryAfterMs};
    }
    const waiting = this.#waitingByEntry.get(request.entry) ?? 0;
    if (waiting >= this.#limits.entryQueue(request.entry)) {
      return {kind: 'entry-queue-full', retryAfterMs};
    }
    this.#waiting.set(request.id, request);
    this.#waitingByEntry.set(request.entry, waiting + 1);
    return undefined;
  }

  predictWaitMs(): number {
    return this.#load.predictWaitMs(this.#waiting.size);
  }

  refreshLimits(): void {
    // Limits are read at each `take`.
  }

  get size(): number {
    return this.#waiting.size;
  }

  take(now: Instant): undefined | WaitingRequest {
    for (const request of this.#waiting.values()) {
      const isServable =
        request.deadline > now &&
        !this.#load.isEntryBlocked(request.entry) &&
        !this.#load.isTeamBlocked(request.team);
      if (isServable) {
        this.#remove(request);
        this.#load.start(request);
        return request;
      }
    }
    return undefined;
  }

  #remove(request: WaitingRequest): void {
    this.#waiting.delete(request.id);
    const waiting = (this.#waitingByEntry.get(request.entry) ?? 1) - 1;
    if (waiting === 0) {
      this.#waitingByEntry.delete(request.entry);
      return;
    }
    this.#waitingByEntry.set(request.entry, waiting);
  }
}
