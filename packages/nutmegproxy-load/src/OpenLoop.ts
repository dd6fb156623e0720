/**
 * Sends requests at their intended times without waiting for earlier ones. Latency is measured from
 * the intended time, so it includes any delay of the sender.
 */

import type {Fault, Scenario} from '@nutmegproxy/schema';

import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';

import type {Arrival} from './Arrivals.ts';
import type {Balancer} from './Balancer.ts';
import type {CallResult} from './LoadCaller.ts';
import type {LoadRecorder} from './LoadFigures.ts';

import {isActive} from './Arrivals.ts';
import {sendCall} from './LoadCaller.ts';
import {CANCEL_AFTER_MS} from './LoadConstants.ts';

/** Dependencies of an open loop. */
export interface OpenLoopOptions {
  readonly balancer: Balancer;
  readonly recorder: LoadRecorder;
  readonly scenario: Scenario;
  /** Start of the warm-up on the monotonic clock of this process. */
  readonly startMs: number;
}

const UNREACHABLE: CallResult = {outcome: 'unreachable', retryAfter: false};

export class OpenLoop {
  readonly #agent = new Agent({connections: null, keepAliveTimeout: 10_000, pipelining: 1});
  #maxLateMs = 0;
  readonly #pending = new Set<Promise<void>>();
  readonly #options: OpenLoopOptions;

  constructor(options: OpenLoopOptions) {
    this.#options = options;
  }

  /** Longest delay between the intended and the actual send time of a request. */
  get maxLateMs(): number {
    return this.#maxLateMs;
  }

  /** Sends all arrivals and waits until all calls complete. */
  async run(arrivals: readonly Arrival[]): Promise<void> {
    for (const arrival of arrivals) {
      const waitMs = this.#options.startMs + arrival.atMs - performance.now();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      this.#start(arrival);
    }
    await Promise.all(this.#pending);
    await this.#agent.destroy();
  }

  #start(arrival: Arrival): void {
    const lateMs = performance.now() - this.#options.startMs - arrival.atMs;
    this.#maxLateMs = Math.max(this.#maxLateMs, lateMs);
    const call = this.#sendAndRecord(arrival).finally(() => {
      this.#pending.delete(call);
    });
    this.#pending.add(call);
  }

  async #sendAndRecord(arrival: Arrival): Promise<void> {
    const {recorder, scenario, startMs} = this.#options;
    const intendedMs = arrival.atMs - scenario.warmUpMs;
    const {outcome, retryAfter} = await this.#sendWithRetries(arrival, intendedMs);
    const elapsedMs = performance.now() - startMs - arrival.atMs;
    const {class: workClass, timeoutMs} = arrival.traffic;
    const onTime = outcome === 'answered' && elapsedMs <= timeoutMs;
    if (intendedMs >= 0) {
      recorder.add({class: workClass, elapsedMs, intendedMs, onTime, outcome: outcome, retryAfter});
    }
  }

  /** Sends a request; retries immediately if it was not run, as often as an active fault says. */
  async #sendWithRetries(arrival: Arrival, intendedMs: number): Promise<CallResult> {
    const attempts = this.#findFault('retries', intendedMs)?.tries ?? 1;
    const isCancelled = arrival.draw < (this.#findFault('cancellations', intendedMs)?.share ?? 0);
    let result = UNREACHABLE;
    for (let index = 0; index < attempts; index += 1) {
      const entry = this.#options.balancer.next();
      const leftMs =
        this.#options.startMs + arrival.atMs + arrival.traffic.timeoutMs - performance.now();
      if (entry === undefined || leftMs < 1) {
        return result;
      }
      result = await sendCall({
        arrival,
        cancelAfterMs: isCancelled ? CANCEL_AFTER_MS : undefined,
        dispatcher: this.#agent,
        origin: entry.callerUrl,
        timeoutMs: leftMs,
      });
      if (result.outcome !== 'not-run' && result.outcome !== 'unreachable') {
        return result;
      }
    }
    return result;
  }

  #findFault(kind: Fault['kind'], atMs: number): Fault | undefined {
    const {faults = []} = this.#options.scenario;
    return faults.find((fault) => fault.kind === kind && isActive(fault, atMs));
  }
}
