/** Keeps retries a share of the traffic, so that they never become a storm. */

import {RETRY_BURST, RETRY_RATIO} from './AdmissionConstants.ts';

/** Each request adds a share of a retry, up to a reserve; each retry takes one. */
export class RetryBudget {
  #tokens: number = RETRY_BURST;

  recordRequest(): void {
    this.#tokens = Math.min(RETRY_BURST, this.#tokens + RETRY_RATIO);
  }

  /** Whether one more retry may be made; counts it when it may. */
  trySpend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
