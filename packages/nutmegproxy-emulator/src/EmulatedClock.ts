/** The steady clock of an emulated minion, which may run slow and begins anew with each incarnation. */

export class EmulatedClock {
  readonly #lagRate: number;
  /** Reading when the incarnation began. */
  #startMs = 0;
  #startedAtMs = 0;

  /** The clock agrees with time until it is restarted, but for the rate by which it runs slow. */
  constructor(lagRate: number) {
    this.#lagRate = lagRate;
  }

  /** Returns when the clock shows a reading. */
  findInstant(clockMs: number): number {
    return this.#startedAtMs + (clockMs - this.#startMs) / (1 - this.#lagRate);
  }

  read(nowMs: number): number {
    return this.#startMs + (nowMs - this.#startedAtMs) * (1 - this.#lagRate);
  }

  restart(clockMs: number, nowMs: number): void {
    this.#startMs = clockMs;
    this.#startedAtMs = nowMs;
  }
}
