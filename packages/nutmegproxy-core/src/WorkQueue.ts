/**
 * Runs the work of one event loop in turns of bounded length. Timers and I/O get their turn in between, so that
 * no amount of queued work delays the renewal of a lease for longer than a turn and one piece of work.
 */

import type {Clock, Instant} from './Clock.ts';

/** A turn of the event loop in which work was done, with all that ran in it. */
export interface WorkTurn {
  readonly durationMs: number;
  /** Phase of the piece of work that took longest. */
  readonly phase: string;
  /** Time in milliseconds that this piece took; the rest of a turn may be of work that is not queued. */
  readonly workMs: number;
}

export interface WorkQueueOptions {
  readonly clock: Clock;
  /** Time in milliseconds after which a turn leaves work to the next one. */
  readonly maxTurnMs: number;
  /** Called at the end of each turn in which work was done. */
  readonly onTurn?: (turn: WorkTurn, now: Instant) => void;
  /** Calls back in a later turn, after timers and I/O that are due; default: `setImmediate`. */
  readonly schedule?: (callback: () => void) => void;
}

export interface WorkOptions {
  /** Urgent work gets half of the time while other work waits as well, and all of it otherwise. */
  readonly isUrgent?: boolean;
}

interface QueuedWork {
  readonly isUrgent: boolean;
  readonly perform: () => void;
  readonly phase: string;
}

/**
 * @example
 * const queue = new WorkQueue({clock, maxTurnMs: 20});
 * await queue.run('listings', () => adopt(listing));
 */
export class WorkQueue {
  #longest: Omit<WorkTurn, 'durationMs'> = {phase: '', workMs: 0};
  readonly #options: WorkQueueOptions;
  readonly #queued: QueuedWork[] = [];
  readonly #queuedUrgent: QueuedWork[] = [];
  /** Time in milliseconds that urgent work has had more than other work while both waited. */
  #urgentLeadMs = 0;
  /** When the present turn began; undefined while no work was done in it. */
  #turnStartedAt: Instant | undefined;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** Number of pieces of work that wait for a later turn. */
  get size(): number {
    return this.#queued.length + this.#queuedUrgent.length;
  }

  /**
   * Runs a piece of work, at once if this turn has time left and no other work waits. `phase` names it in
   * `WorkTurn`. The promise is rejected with what `work` throws.
   */
  run<Value>(
    phase: string,
    work: () => Value,
    {isUrgent = false}: WorkOptions = {},
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const perform = (): void => {
        try {
          resolve(work());
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      };
      if (this.#turnStartedAt === undefined) {
        this.#beginTurn(this.#options.clock.monotonic());
      }
      const queued = {isUrgent, perform, phase};
      if (this.size === 0 && this.#hasTimeLeft()) {
        this.#perform(queued);
      } else {
        (isUrgent ? this.#queuedUrgent : this.#queued).push(queued);
      }
    });
  }

  /**
   * Handles items in their order, in pieces of work of at most half a turn, so that a series of short items does
   * not wait for all other work before each of them; resolves when all are handled.
   */
  async forEach<Item>(
    phase: string,
    items: Iterable<Item>,
    handle: (item: Item) => void,
  ): Promise<void> {
    const {clock, maxTurnMs} = this.#options;
    const iterator = items[Symbol.iterator]();
    let next = iterator.next();
    while (next.done !== true) {
      await this.run(phase, () => {
        const startedAt = clock.monotonic();
        do {
          handle(next.value as Item);
          next = iterator.next();
        } while (next.done !== true && clock.monotonic() - startedAt < maxTurnMs / 2);
      });
    }
  }

  #beginTurn(now: Instant): void {
    this.#turnStartedAt = now;
    this.#longest = {phase: '', workMs: 0};
    const schedule = this.#options.schedule ?? setImmediate;
    schedule(() => {
      this.#endTurn();
    });
  }

  /** Ends a turn, and begins the next one if work waits. */
  #endTurn(): void {
    const {clock, onTurn} = this.#options;
    const now = clock.monotonic();
    const durationMs = now - (this.#turnStartedAt ?? now);
    this.#turnStartedAt = undefined;
    onTurn?.({...this.#longest, durationMs}, now);
    if (this.size === 0) {
      return;
    }
    this.#beginTurn(now);
    while (this.#hasTimeLeft()) {
      const next = this.#takeNext();
      if (next === undefined) {
        return;
      }
      this.#perform(next);
    }
  }

  /** Counts the time of a piece of work. A lead of its kind counts only while work of the other kind waits. */
  #countTime(isUrgent: boolean, workMs: number): void {
    const leadMs = this.#urgentLeadMs + (isUrgent ? workMs : -workMs);
    const isAwaited = (isUrgent ? this.#queued : this.#queuedUrgent).length > 0;
    const limit = isUrgent ? Math.min : Math.max;
    this.#urgentLeadMs = isAwaited ? leadMs : limit(0, leadMs);
  }

  #hasTimeLeft(): boolean {
    const {clock, maxTurnMs} = this.#options;
    const now = clock.monotonic();
    return now - (this.#turnStartedAt ?? now) < maxTurnMs;
  }

  #perform({isUrgent, perform, phase}: QueuedWork): void {
    const {clock} = this.#options;
    const startedAt = clock.monotonic();
    perform();
    const workMs = clock.monotonic() - startedAt;
    this.#countTime(isUrgent, workMs);
    if (workMs >= this.#longest.workMs) {
      this.#longest = {phase, workMs};
    }
  }

  #takeNext(): QueuedWork | undefined {
    return this.#urgentLeadMs <= 0
      ? (this.#queuedUrgent.shift() ?? this.#queued.shift())
      : (this.#queued.shift() ?? this.#queuedUrgent.shift());
  }
}
