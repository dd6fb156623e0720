/** The gateway's base URLs: one is in use, and the next one takes its place after a failure. */

import {invariant} from '@nutmegproxy/core';

export class EtcdEndpoints {
  readonly #baseUrls: readonly string[];
  #current = 0;

  constructor(baseUrls: readonly string[]) {
    invariant(baseUrls.length > 0, 'store: no base URL');
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

  /** Leaves `failed` for the next one, unless another call has left it already. */
  switchFrom(failed: string): void {
    if (this.current() === failed) {
      this.#current = (this.#current + 1) % this.#baseUrls.length;
    }
  }
}
