/** Time in milliseconds from one piece of other work to the next. */
const OTHER_WORK_PERIOD_MS = 250;

/**
 * Processor time of a simulated owner: its process makes and receives one call after the other, in the time that
 * other work leaves.
 */
export class SimulatedOwnerTime {
  readonly #callMs: number;
  /** When the last call is done, in milliseconds of the time that other work leaves. */
  #freeAtMs = 0;
  readonly #otherShare: number;
  #spentMs = 0;

  /**
   * `callMs` is the time in milliseconds that a start takes, and the report of an end. `otherShare` is the share of
   * the time for work that does not depend on the calls, which comes in a piece for each period.
   */
  constructor(callMs: number, otherShare = 0) {
    this.#callMs = callMs;
    this.#otherShare = otherShare;
  }

  /** Queues a call; returns when it is done, in milliseconds. */
  spend(nowMs: number): number {
    this.#freeAtMs = Math.max(this.#freeAtMs, this.#computeLeft(nowMs)) + this.#callMs;
    this.#spentMs += this.#callMs;
    return this.#findEnd(this.#freeAtMs);
  }

  /** Returns the number of calls that are not done. */
  countWaiting(nowMs: number): number {
    return Math.ceil(Math.max(0, this.#freeAtMs - this.#computeLeft(nowMs)) / this.#callMs);
  }

  /** Returns the time in milliseconds spent on calls, on waiting for them and on other work, up to `nowMs`. */
  readLoop(nowMs: number): {active: number; idle: number} {
    const leftMs = this.#computeLeft(nowMs);
    const onCallsMs = this.#spentMs - Math.max(0, this.#freeAtMs - leftMs);
    const active = onCallsMs + nowMs - leftMs;
    return {active, idle: nowMs - active};
  }

  /** Returns the time in milliseconds that other work has left for calls up to `nowMs`. */
  #computeLeft(nowMs: number): number {
    const otherMs = this.#otherShare * OTHER_WORK_PERIOD_MS;
    const periods = Math.floor(nowMs / OTHER_WORK_PERIOD_MS);
    const inPeriodMs = nowMs - periods * OTHER_WORK_PERIOD_MS;
    return periods * (OTHER_WORK_PERIOD_MS - otherMs) + Math.max(0, inPeriodMs - otherMs);
  }

  /** Returns when so much time has been left for calls. */
  #findEnd(leftMs: number): number {
    const otherMs = this.#otherShare * OTHER_WORK_PERIOD_MS;
    const periods = Math.ceil(leftMs / (OTHER_WORK_PERIOD_MS - otherMs));
    return leftMs + periods * otherMs;
  }
}
