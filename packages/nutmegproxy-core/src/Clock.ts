/** Clocks. Decision functions take the current `Instant` as an argument and never read a clock. */

import type {Branded} from './Ids.ts';

/** Milliseconds on this process's monotonic clock; not comparable between processes. */
export type Instant = Branded<number, 'Instant'>;

/** Milliseconds since 1970 on the wall clock. */
export type WallTime = Branded<number, 'WallTime'>;

/** Reads the current time. */
export interface Clock {
  monotonic(): Instant;
  wall(): WallTime;
}

/** The operating system's clocks. */
export const SYSTEM_CLOCK: Clock = {
  monotonic: () => performance.now() as Instant,
  wall: () => Date.now() as WallTime,
};

/**
 * Returns the instant `milliseconds` after `instant`.
 *
 * @example
 * const deadline = after(clock.monotonic(), 500);
 */
export function after(instant: Instant, milliseconds: number): Instant {
  return (instant + milliseconds) as Instant;
}

/** A clock for tests, which advances only on request. */
export class ManualClock implements Clock {
  #elapsedMs = 0;
  readonly #wallStartMs: number;

  constructor(wallStartMs = 1_800_000_000_000) {
    this.#wallStartMs = wallStartMs;
  }

  advance(milliseconds: number): void {
    this.#elapsedMs += milliseconds;
  }

  monotonic(): Instant {
    return this.#elapsedMs as Instant;
  }

  wall(): WallTime {
    return (this.#wallStartMs + this.#elapsedMs) as WallTime;
  }
}
