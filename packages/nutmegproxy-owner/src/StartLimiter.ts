/**
 * Limits the starts that are in flight at the same time. This matters when thousands of tasks become
 * startable at once, as after a takeover: an owner that sends all their starts together is busy for
 * longer than their timeout, and the repeated starts keep it busy.
 *
 * The limit follows the duration of the calls, which includes the delay of this process: it rises
 * while calls are fast, and falls when most of them take long. A few slow calls are due to their
 * minions.
 *
 * Urgent starts overtake deferrable ones, which may wait by the hundred, and so do those of jobs of which nothing else
 * is at work. Starts of one kind are sent in the order in which they were requested.
 */

import type {EventFields} from '@nutmegproxy/core';

/** Starts in flight before any call was measured, and the bounds of the limit. */
const INITIAL_LIMIT = 128;
const MIN_LIMIT = 32;
const MAX_LIMIT = 512;
/** Duration of a call in milliseconds up to which the limit rises; minions respond in a few. */
const FAST_CALL_MS = 100;
/** Duration of a call in milliseconds from which the limit falls; well below the timeout. */
const SLOW_CALL_MS = 300;
/** Growth of the limit by a full window of fast calls. */
const GROWTH_PER_WINDOW = 4;
/** Factor by which a slow call lowers the limit. */
const BACKOFF_FACTOR = 0.8;
/** Share of slow calls from which the limit falls. */
const SLOW_SHARE = 0.5;
/** Weight of a call in the share of slow calls. */
const SLOW_SHARE_SMOOTHING = 1 / 16;
/** Time in milliseconds after a reduction in which no other follows: the calls in flight are slow too. */
const BACKOFF_INTERVAL_MS = 100;
/** Urgent starts that are sent in a row while deferrable ones wait. */
const URGENT_PER_DEFERRABLE = 3;
/** Starts of jobs of which nothing else is at work that are sent in a row while other deferrable ones wait. */
const AWAITED_PER_OTHER = 3;

export interface StartRequest {
  /** What the members of a gang share. Once one was sent, the others are urgent: it waits for them. */
  readonly gang?: object | undefined;
  /** Whether nothing else of its job is at work, so that it goes before other deferrable ones. */
  readonly isAwaited?: boolean | undefined;
  readonly isUrgent?: boolean;
}

interface WaitingStart {
  readonly gang: object | undefined;
  readonly proceed: () => void;
}

export class StartLimiter {
  /** Gangs of which a member was sent. */
  readonly #begunGangs = new WeakSet<object>();
  #awaited: WaitingStart[] = [];
  /** Awaited starts since the last other deferrable one. */
  #awaitedInRow = 0;
  #deferrable: WaitingStart[] = [];
  #inFlight = 0;
  #limit = INITIAL_LIMIT;
  #reducedAtMs = -Infinity;
  /** Starts since the last round. */
  #sent = 0;
  #slowShare = 0;
  readonly #urgent: WaitingStart[] = [];
  /** Urgent starts since the last deferrable one. */
  #urgentInRow = 0;

  /** Whether so many starts wait that no deferrable task is placed: its start would be sent after these. */
  get isBacklogged(): boolean {
    return this.#waiting >= this.#limit;
  }

  /** The same for all tasks: so many urgent starts wait. */
  get isFull(): boolean {
    return this.#urgent.length >= this.#limit;
  }

  /**
   * Returns how many starts may be planned in a round: as many as were sent since the last one and may be in
   * flight, without those that are and the urgent ones that wait. More would be sent after later rounds, which
   * know better what is urgent.
   */
  takeRoom(): number {
    const room = this.limit + Math.max(this.limit, this.#sent);
    this.#sent = 0;
    return Math.max(1, room - this.#inFlight - this.#urgent.length);
  }

  /** Most starts that may be in flight now. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Event fields that say what the limit is and how many starts wait for it. */
  get eventFields(): EventFields {
    return {startLimit: this.limit, startsWaiting: this.#waiting};
  }

  /**
   * Resolves when the caller may send a start. It calls `leave` after the call has ended, or
   * `leaveUnsent` if it sends none.
   */
  async enter({gang, isAwaited = false, isUrgent = false}: StartRequest = {}): Promise<void> {
    if (this.#inFlight < this.limit) {
      this.#recordSent(gang);
      return;
    }
    const hasBegun = gang !== undefined && this.#begunGangs.has(gang);
    const rest = isAwaited ? this.#awaited : this.#deferrable;
    await new Promise<void>((proceed) => {
      (isUrgent || hasBegun ? this.#urgent : rest).push({gang, proceed});
    });
  }

  /** Ends a call that took `durationMs`, and lets the next ones be sent. */
  leave(durationMs: number, nowMs: number): void {
    this.#adjustLimit(durationMs, nowMs);
    this.leaveUnsent();
  }

  /** Lets the next starts be sent in place of one that was given up, which says nothing of durations. */
  leaveUnsent(): void {
    this.#inFlight -= 1;
    while (this.#inFlight < this.limit) {
      const next = this.#takeNext();
      if (next === undefined) {
        return;
      }
      this.#recordSent(next.gang);
      next.proceed();
    }
  }

  get #waiting(): number {
    return this.#awaited.length + this.#deferrable.length + this.#urgent.length;
  }

  #takeNext(): undefined | WaitingStart {
    const hasOthers = this.#awaited.length + this.#deferrable.length > 0;
    const isUrgent = this.#urgentInRow < URGENT_PER_DEFERRABLE || !hasOthers;
    const urgent = isUrgent ? this.#urgent.shift() : undefined;
    if (urgent !== undefined) {
      this.#urgentInRow += 1;
      return urgent;
    }
    this.#urgentInRow = 0;
    return this.#takeDeferrable();
  }

  #takeDeferrable(): undefined | WaitingStart {
    const isAwaited = this.#awaitedInRow < AWAITED_PER_OTHER || this.#deferrable.length === 0;
    const awaited = isAwaited ? this.#awaited.shift() : undefined;
    this.#awaitedInRow = awaited === undefined ? 0 : this.#awaitedInRow + 1;
    return awaited ?? this.#deferrable.shift();
  }

  #recordSent(gang: object | undefined): void {
    this.#inFlight += 1;
    this.#sent += 1;
    if (gang !== undefined && !this.#begunGangs.has(gang)) {
      this.#begunGangs.add(gang);
      const waiting = [...this.#awaited, ...this.#deferrable];
      this.#urgent.push(...waiting.filter((each) => each.gang === gang));
      this.#awaited = this.#awaited.filter((each) => each.gang !== gang);
      this.#deferrable = this.#deferrable.filter((each) => each.gang !== gang);
    }
  }

  #adjustLimit(durationMs: number, nowMs: number): void {
    const isSlow = durationMs >= SLOW_CALL_MS;
    this.#slowShare += SLOW_SHARE_SMOOTHING * (Number(isSlow) - this.#slowShare);
    const isReducible = nowMs - this.#reducedAtMs >= BACKOFF_INTERVAL_MS;
    if (durationMs <= FAST_CALL_MS) {
      this.#limit = Math.min(MAX_LIMIT, this.#limit + GROWTH_PER_WINDOW / this.#limit);
    } else if (isSlow && this.#slowShare >= SLOW_SHARE && isReducible) {
      this.#limit = Math.max(MIN_LIMIT, this.#limit * BACKOFF_FACTOR);
      this.#reducedAtMs = nowMs;
    }
  }
}
