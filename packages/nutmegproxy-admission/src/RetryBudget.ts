/** Keeps retries a share of the traffic, so that they never become a storm. */

import {RETRY_RESERVE, RETRY_SHARE} from './AdmissionConstants.ts';

/** Each request adds a share of a retry, up to a reserve; each retry takes one. */
export class RetryBudget {
  #retries: number = RETRY_RESERVE;

  recordRequest(): void {
    this.#retries = Math.min(RETRY_RESERVE, this.#retries + RETRY_SHARE);
  }

  /** Whether one more retry may be made; counts it when it may. */
  spend(): boolean {
    if (this.#retries < 1) {
      return false;
    }
    this.#retries -= 1;
    return true;
  }
}
