/**
 * Emulated VMs, each with an event loop of its own, beside stores and minions that respond in time. All of
 * them share a time axis, and what happens on it happens in the order of time. Nothing waits in real time.
 */

import type {Instant} from '@nutmegproxy/core';

import {ManualClock} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {mock} from 'node:test';

import {Agenda} from '../../Agenda.ts';
import {EmulatedLoop, type EmulatedTimer} from './EmulatedLoop.ts';

/** Node's own, which runs after the continuations of all settled promises. */
const callInNextTurn = setImmediate;

/** Wall time in milliseconds at the begin of a play. */
const START_OF_TIME_MS = 1_800_000_000_000;

function settle(): Promise<void> {
  return new Promise((resolve) => {
    callInNextTurn(resolve);
  });
}

/**
 * @example
 * const vms = new EmulatedVms();
 * vms.replaceTimers();
 * const loop = vms.addLoop(5);
 * loop.addImmediate(() => void candidate.run());
 * await vms.runUntil(10_000);
 * vms.restoreTimers();
 */
export class EmulatedVms {
  /** The time of stores and minions. */
  readonly clock = new ManualClock(START_OF_TIME_MS);
  readonly #agenda = new Agenda();
  readonly #loops: EmulatedLoop[] = [];
  /** The loop whose code runs now. */
  #running: EmulatedLoop | undefined;

  get nowMs(): Instant {
    return this.clock.monotonic();
  }

  addLoop(factor: number): EmulatedLoop {
    const deliver = (atMs: number, execute: () => void): void => {
      this.schedule(atMs, execute);
    };
    const clock = new ManualClock(START_OF_TIME_MS);
    clock.advance(this.nowMs);
    const loop = new EmulatedLoop(factor, clock, deliver);
    this.#loops.push(loop);
    return loop;
  }

  /** Passes the timers of the code of VMs to their loops, until `restoreTimers` is called. */
  replaceTimers(): void {
    const find = (): EmulatedLoop => {
      assert.ok(this.#running !== undefined, 'a timer outside of an emulated VM');
      return this.#running;
    };
    const methods = {
      clearTimeout: (timer: EmulatedTimer) => {
        find().clearTimer(timer);
      },
      setImmediate: (callback: () => void) => {
        find().addImmediate(callback);
      },
      setTimeout: (callback: () => void, durationMs = 0) => find().addTimer(callback, durationMs),
    };
    mock.method(globalThis, 'clearTimeout', methods.clearTimeout as unknown as typeof clearTimeout);
    mock.method(globalThis, 'setImmediate', methods.setImmediate as typeof setImmediate);
    mock.method(globalThis, 'setTimeout', methods.setTimeout as unknown as typeof setTimeout);
    mock.method(performance, 'eventLoopUtilization', () => this.#readLoop());
  }

  restoreTimers(): void {
    mock.restoreAll();
  }

  /** Lets something happen outside of the VMs at a time. */
  schedule(atMs: number, action: () => void): void {
    this.#agenda.add(atMs, action);
  }

  /** Lets time pass until an instant or until a condition holds. */
  async runUntil(untilMs: number, isDone: () => boolean = () => false): Promise<void> {
    while (!isDone()) {
      const loop = this.#findNextLoop();
      const loopMs = loop?.nextStepMs ?? Infinity;
      if (Math.min(this.#agenda.nextMs, loopMs) > untilMs) {
        this.#advanceTo(untilMs);
        return;
      }
      if (loop === undefined || this.#agenda.nextMs <= loopMs) {
        this.#advanceTo(this.#agenda.nextMs);
        this.#agenda.runNext();
        await settle();
      } else {
        this.#advanceTo(loopMs);
        this.#running = loop;
        await loop.step(settle);
        this.#running = undefined;
      }
    }
  }

  #advanceTo(atMs: number): void {
    this.clock.advance(Math.max(0, atMs - this.nowMs));
  }

  #findNextLoop(): EmulatedLoop | undefined {
    let next: EmulatedLoop | undefined;
    for (const loop of this.#loops) {
      next = loop.nextStepMs < (next?.nextStepMs ?? Infinity) ? loop : next;
    }
    return next;
  }

  #readLoop(): {active: number; idle: number; utilization: number} {
    const active = this.#running?.activeMs ?? 0;
    const elapsedMs = this.#running?.clock.monotonic() ?? 0;
    return {active, idle: elapsedMs - active, utilization: elapsedMs > 0 ? active / elapsedMs : 0};
  }
}
