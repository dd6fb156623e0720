/** Models the platform's load balancer, which selects only entry VMs that report ready. */

import {setTimeout as sleep} from 'node:timers/promises';

import {BALANCER_POLL_MS} from './LoadConstants.ts';

/** An entry VM behind the balancer. */
export interface BalancedEntry {
  /** Base URL for callers. */
  readonly callerUrl: string;
  isReady(): Promise<boolean>;
}

export class Balancer {
  readonly #entries: readonly BalancedEntry[];
  #isRunning = true;
  #ready: readonly BalancedEntry[];
  #nextIndex = 0;

  constructor(entries: readonly BalancedEntry[]) {
    this.#entries = entries;
    this.#ready = entries;
  }

  close(): void {
    this.#isRunning = false;
  }

  /** Returns the entry VM for the next request by round-robin; undefined if none is ready. */
  next(): BalancedEntry | undefined {
    this.#nextIndex += 1;
    return this.#ready[this.#nextIndex % Math.max(1, this.#ready.length)];
  }

  /** Polls the readiness of all entry VMs until `close` is called. */
  async run(): Promise<void> {
    while (this.#isRunning) {
      await sleep(BALANCER_POLL_MS);
      const states = await Promise.all(this.#entries.map((entry) => entry.isReady()));
      this.#ready = this.#entries.filter((_entry, index) => states[index]);
    }
  }
}
