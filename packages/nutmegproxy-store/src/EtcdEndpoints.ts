/** The gateway's base URLs: one is in use, and a failure switches to the next one. */

import {invariant} from '@nutmegproxy/core';

export class EtcdEndpoints {
  readonly #baseUrls: readonly string[];
  #current = 0;

  constructor(baseUrls: readonly string[]) {
    invariant(baseUrls.length > 0, 'store: at least one base URL is required');
    this.#baseUrls = baseUrls;
  }

  get count(): number {
    return this.#baseUrls.length;
  }

  current(): string {
    const url = this.#baseUrls[this.#current];
    invariant(url !== undefined, 'store: endpoint index out of range');
    return url;
  }

  /** Switches from `failed` to the next base URL, unless another call has switched already. */
  switchFrom(failed: string): void {
    if (this.current() === failed) {
      this.#current = (this.#current + 1) % this.#baseUrls.length;
    }
  }
}
