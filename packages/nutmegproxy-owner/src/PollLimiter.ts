/**
 * Limits the polls that are open at the same time. All responses that have arrived are read in one turn of
 * the event loop, outside of the work queue, so that on a slow VM those of a large fleet would make a turn
 * that outlasts the renewal of the ownership.
 *
 * The limit follows the turns: it falls when one with responses was long, and rises with the responses in
 * short ones while polls wait for it. On a fast VM it exceeds the number of minions after a few turns.
 */

import type {EventFields, Instant, WorkTurn} from '@nutmegproxy/core';

/** Polls that may be open before any turn was measured, and the lowest limit. */
const INITIAL_LIMIT = 64;
const MIN_LIMIT = 16;
/** Time in milliseconds for unqueued work in a turn up to which the limit rises. */
const SHORT_TURN_MS = 100;
/** The same from which the limit falls: a renewal takes up to three turns, and several have to fit into a lease. */
const LONG_TURN_MS = 250;
/** Growth of the limit, once it has fallen, by as many responses as it allows; before, each response raises it by one. */
const GROWTH_PER_WINDOW = 8;
/** Factor by which a long turn lowers the limit. */
const BACKOFF_FACTOR = 0.5;

/** When a poll is due; the earliest goes first. */
export interface PollDue {
  readonly at: Instant;
  /** The same once responses have made a turn long. */
  readonly inSlowLoopAt: Instant;
}

interface WaitingPoll {
  readonly due: PollDue;
  readonly proceed: () => void;
}

/**
 * @example
 * await limiter.enter(due);
 * const answer = await orders.poll(target, order);
 * limiter.recordResponse();
 * handle(answer);
 * limiter.leave();
 */
export class PollLimiter {
  /** Whether responses have made a turn long. */
  #hasFallen = false;
  #limit = INITIAL_LIMIT;
  #open = 0;
  /** Responses since the end of the last turn. */
  #responses = 0;
  readonly #waiting: WaitingPoll[] = [];

  /** Most polls that may be open now. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Event fields that say what the limit is and how many polls wait for it. */
  get eventFields(): EventFields {
    return {pollLimit: this.limit, pollsWaiting: this.#waiting.length};
  }

  /** Resolves when the caller may send a poll; those that are due first go first. The caller then calls `leave`. */
  async enter(due: PollDue): Promise<void> {
    if (this.#open < this.limit) {
      this.#open += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.#waiting.push({due, proceed: resolve});
    });
  }

  /** Lets the next poll be sent, after the response to one was handled or it failed. */
  leave(): void {
    this.#open -= 1;
    this.#admit();
  }

  /** Records that the response to a poll was read. */
  recordResponse(): void {
    this.#responses += 1;
  }

  /** Returns the time in milliseconds that a poll may wait when it would wait `waitMs` without a limit. */
  shortenWait(waitMs: number, minions: number): number {
    return this.limit < minions ? Math.round((waitMs * this.limit) / minions) : waitMs;
  }

  /** Adapts the limit to a turn that has ended. */
  recordTurn({durationMs, workMs}: WorkTurn): void {
    const unqueuedMs = durationMs - workMs;
    const responses = this.#responses;
    this.#responses = 0;
    if (unqueuedMs >= LONG_TURN_MS && responses > MIN_LIMIT) {
      this.#limit = Math.max(MIN_LIMIT, Math.min(this.#limit, this.#open) * BACKOFF_FACTOR);
      this.#hasFallen = true;
    } else if (unqueuedMs <= SHORT_TURN_MS && this.#waiting.length > 0) {
      const growth = this.#hasFallen ? GROWTH_PER_WINDOW / this.#limit : 1;
      this.#limit += growth * responses;
      this.#admit();
    }
  }

  #admit(): void {
    while (this.#open < this.limit) {
      const next = this.#takeFirstDue();
      if (next === undefined) {
        return;
      }
      this.#open += 1;
      next.proceed();
    }
  }

  #takeFirstDue(): WaitingPoll | undefined {
    const name = this.#hasFallen ? 'inSlowLoopAt' : 'at';
    let first: WaitingPoll | undefined;
    for (const poll of this.#waiting) {
      first = poll.due[name] < (first?.due[name] ?? Infinity) ? poll : first;
    }
    if (first !== undefined) {
      this.#waiting.splice(this.#waiting.indexOf(first), 1);
    }
    return first;
  }
}
