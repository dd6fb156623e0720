/**
 * Sends arrivals at their intended times, whatever became of earlier ones. Latency counts from the
 * intended time, so a caller that is late counts its own delay as well.
 */

import type {Fault, Scenario} from '@nutmegproxy/schema';

import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';

import type {Arrival} from './Arrivals.ts';
import type {Balancer} from './Balancer.ts';
import type {CallEnd} from './LoadCaller.ts';
import type {LoadRecorder} from './LoadFigures.ts';

import {isInForce} from './Arrivals.ts';
import {sendCall} from './LoadCaller.ts';
import {CANCEL_AFTER_MS} from './LoadConstants.ts';

/** What a loop works with. */
export interface OpenLoopParts {
  readonly balancer: Balancer;
  readonly recorder: LoadRecorder;
  readonly scenario: Scenario;
  /** Start of the warm-up on the monotonic clock of this process. */
  readonly startMs: number;
}

const UNREACHED: CallEnd = {ending: 'unreachable', retryAfter: false};

export class OpenLoop {
  readonly #agent = new Agent({connections: null, keepAliveTimeout: 10_000, pipelining: 1});
  #latestMs = 0;
  readonly #open = new Set<Promise<void>>();
  readonly #parts: OpenLoopParts;

  constructor(parts: OpenLoopParts) {
    this.#parts = parts;
  }

  /** Longest time by which a request was sent late. */
  get latestMs(): number {
    return this.#latestMs;
  }

  /** Sends all arrivals and waits for the ends of all calls. */
  async run(arrivals: readonly Arrival[]): Promise<void> {
    for (const arrival of arrivals) {
      const waitMs = this.#parts.startMs + arrival.atMs - performance.now();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      this.#start(arrival);
    }
    await Promise.all(this.#open);
    await this.#agent.destroy();
  }

  #start(arrival: Arrival): void {
    const lateMs = performance.now() - this.#parts.startMs - arrival.atMs;
    this.#latestMs = Math.max(this.#latestMs, lateMs);
    const call = this.#call(arrival).finally(() => {
      this.#open.delete(call);
    });
    this.#open.add(call);
  }

  async #call(arrival: Arrival): Promise<void> {
    const {recorder, scenario, startMs} = this.#parts;
    const intendedMs = arrival.atMs - scenario.warmUpMs;
    const {ending, retryAfter} = await this.#try(arrival, intendedMs);
    const elapsedMs = performance.now() - startMs - arrival.atMs;
    const {class: workClass, timeoutMs} = arrival.traffic;
    const onTime = ending === 'answered' && elapsedMs <= timeoutMs;
    if (intendedMs >= 0) {
      recorder.add({class: workClass, elapsedMs, ending, intendedMs, onTime, retryAfter});
    }
  }

  /** Sends, and again at once when refused, as often as the callers of the scenario do. */
  async #try(arrival: Arrival, intendedMs: number): Promise<CallEnd> {
    const tries = this.#find('retries', intendedMs)?.tries ?? 1;
    const cancelled = arrival.draw < (this.#find('cancellations', intendedMs)?.share ?? 0);
    let end = UNREACHED;
    for (let index = 0; index < tries; index += 1) {
      const entry = this.#parts.balancer.next();
      const leftMs =
        this.#parts.startMs + arrival.atMs + arrival.traffic.timeoutMs - performance.now();
      if (entry === undefined || leftMs < 1) {
        return end;
      }
      end = await sendCall({
        arrival,
        cancelAfterMs: cancelled ? CANCEL_AFTER_MS : undefined,
        dispatcher: this.#agent,
        origin: entry.callers,
        timeoutMs: leftMs,
      });
      if (end.ending !== 'not-run' && end.ending !== 'unreachable') {
        return end;
      }
    }
    return end;
  }

  #find(kind: Fault['kind'], atMs: number): Fault | undefined {
    const {faults = []} = this.#parts.scenario;
    return faults.find((fault) => fault.kind === kind && isInForce(fault, atMs));
  }
}
