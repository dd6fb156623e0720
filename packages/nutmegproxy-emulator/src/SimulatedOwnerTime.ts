/** Processor time of a simulated owner: its process makes and receives one call after the other. */
export class SimulatedOwnerTime {
  readonly #callMs: number;
  #freeAtMs = 0;
  #spentMs = 0;

  /** `callMs` is the time in milliseconds that a start takes, and the report of an end. */
  constructor(callMs: number) {
    this.#callMs = callMs;
  }

  /** Queues a call; returns when it is done, in milliseconds. */
  spend(nowMs: number): number {
    this.#freeAtMs = Math.max(this.#freeAtMs, nowMs) + this.#callMs;
    this.#spentMs += this.#callMs;
    return this.#freeAtMs;
  }

  /** Returns the time in milliseconds spent on calls and on waiting for them, up to `nowMs`. */
  readLoop(nowMs: number): {active: number; idle: number} {
    const active = this.#spentMs - Math.max(0, this.#freeAtMs - nowMs);
    return {active, idle: nowMs - active};
  }
}
