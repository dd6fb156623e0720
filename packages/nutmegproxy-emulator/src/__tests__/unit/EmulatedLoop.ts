/**
 * The event loop of an emulated VM, in the phases of Node's: due timers, then all responses that are ready,
 * then the callbacks of `setImmediate`. Work advances the VM's clock, so that what comes meanwhile waits.
 */

import type {Instant, ManualClock} from '@nutmegproxy/core';

type Callback = () => void;

/** What a callback needs to run to its end: the continuations of the promises that it settles. */
export type Settle = () => Promise<void>;

/** A timer as the owner's code holds it. */
export interface EmulatedTimer {
  readonly callback: Callback;
  readonly dueMs: number;
  readonly unref: () => EmulatedTimer;
}

interface ReadyResponse {
  readonly handle: Callback;
  readonly readyMs: number;
  /** Whether it is only taken up in an iteration that begins once it is ready. */
  readonly waitsForIteration: boolean;
}

/** A call that is sent at the end of the iteration in which it was made. */
interface OutgoingCall {
  readonly execute: Callback;
  readonly latencyMs: number;
}

type Phase = 'check' | 'poll' | 'timers';

/** Shortest duration in milliseconds of a timer of Node. */
const MIN_TIMER_MS = 1;

/**
 * @example
 * const loop = new EmulatedLoop(8, new ManualClock(), deliver);
 * loop.charge(1.2); // its clock advances by 9.6 ms
 */
export class EmulatedLoop {
  readonly clock: ManualClock;
  /** Time in milliseconds that was spent on work. */
  activeMs = 0;
  /** Longest time in milliseconds between two times at which due timers were called. */
  longestTurnMs = 0;
  readonly #deliver: (atMs: number, execute: Callback) => void;
  readonly #factor: number;
  #immediates: Callback[] = [];
  #isKilled = false;
  #iterationStartedMs: number;
  #outgoing: OutgoingCall[] = [];
  /** Undefined between two iterations. */
  #phase: Phase | undefined;
  #responses: ReadyResponse[] = [];
  readonly #timers = new Set<EmulatedTimer>();

  /** `factor` multiplies all costs; `deliver` lets a call arrive at its receiver at a time; `clock` is its own. */
  constructor(
    factor: number,
    clock: ManualClock,
    deliver: (atMs: number, execute: Callback) => void,
  ) {
    this.clock = clock;
    this.#deliver = deliver;
    this.#factor = factor;
    this.#iterationStartedMs = clock.monotonic();
  }

  /** When the present iteration began, or the last one. */
  get iterationStartedAt(): Instant {
    return this.#iterationStartedMs as Instant;
  }

  /** When the loop goes on with its present iteration, or begins the next one; Infinity while nothing is due. */
  get nextStepMs(): number {
    const nowMs = this.clock.monotonic();
    if (this.#isKilled) {
      return Infinity;
    }
    if (this.#phase !== undefined || this.#immediates.length > 0) {
      return nowMs;
    }
    let nextMs = Infinity;
    for (const {dueMs} of this.#timers) {
      nextMs = Math.min(nextMs, dueMs);
    }
    for (const {readyMs} of this.#responses) {
      nextMs = Math.min(nextMs, readyMs);
    }
    return Math.max(nowMs, nextMs);
  }

  addImmediate(callback: Callback): void {
    this.#immediates.push(callback);
  }

  addTimer(callback: Callback, durationMs: number): EmulatedTimer {
    const dueMs = this.clock.monotonic() + Math.max(MIN_TIMER_MS, durationMs);
    const timer: EmulatedTimer = {callback, dueMs, unref: () => timer};
    this.#timers.add(timer);
    return timer;
  }

  /** Keeps the processor busy for a time that a fast VM would need. */
  charge(milliseconds: number): void {
    const spentMs = milliseconds * this.#factor;
    this.clock.advance(spentMs);
    this.activeMs += spentMs;
  }

  clearTimer(timer: EmulatedTimer): void {
    this.#timers.delete(timer);
  }

  /** Ends the process: nothing of it runs any more. */
  kill(): void {
    this.#isKilled = true;
    this.#outgoing = [];
  }

  /** Takes up a response once it is ready. */
  receive(readyMs: number, handle: Callback, waitsForIteration: boolean): void {
    this.#responses.push({handle, readyMs, waitsForIteration});
  }

  /** Makes a call that `execute` carries out, at its receiver. */
  send(latencyMs: number, execute: Callback): void {
    this.#outgoing.push({execute, latencyMs});
  }

  /** Runs one phase of an iteration. */
  async step(settle: Settle): Promise<void> {
    const {next, take} = this.#phases[this.#phase ?? this.#beginIteration()];
    for (const callback of take()) {
      callback();
      await settle();
      if (this.#isKilled) {
        return;
      }
    }
    this.#phase = next;
    if (next === undefined) {
      this.#sendCalls();
    }
  }

  readonly #phases: Readonly<
    Record<Phase, {readonly next: Phase | undefined; readonly take: () => Iterable<Callback>}>
  > = {
    check: {next: undefined, take: () => this.#immediates.splice(0)},
    poll: {next: 'check', take: () => this.#takeResponses()},
    timers: {next: 'poll', take: () => this.#takeTimers()},
  };

  #beginIteration(): Phase {
    const formerMs = this.#iterationStartedMs;
    this.longestTurnMs = Math.max(this.longestTurnMs, this.clock.monotonic() - formerMs);
    this.clock.advance(this.nextStepMs - this.clock.monotonic());
    this.#iterationStartedMs = this.clock.monotonic();
    return 'timers';
  }

  #sendCalls(): void {
    const nowMs = this.clock.monotonic();
    for (const {execute, latencyMs} of this.#outgoing.splice(0)) {
      this.#deliver(nowMs + latencyMs, execute);
    }
  }

  #takeResponses(): Callback[] {
    const nowMs = this.clock.monotonic();
    const isReady = ({readyMs, waitsForIteration}: ReadyResponse): boolean =>
      readyMs <= (waitsForIteration ? this.#iterationStartedMs : nowMs);
    const ready = this.#responses.filter(isReady).sort((a, b) => a.readyMs - b.readyMs);
    this.#responses = this.#responses.filter((response) => !isReady(response));
    return ready.map(({handle}) => handle);
  }

  /** Yields the timers that are due now in their order, unless one before cleared them. */
  *#takeTimers(): Iterable<Callback> {
    const due = [...this.#timers].filter(({dueMs}) => dueMs <= this.#iterationStartedMs);
    for (const timer of due.sort((a, b) => a.dueMs - b.dueMs)) {
      if (this.#timers.delete(timer)) {
        yield timer.callback;
      }
    }
  }
}
