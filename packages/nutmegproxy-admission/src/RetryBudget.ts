/** Limits retries to a share of the traffic, to prevent retry storms. */

import {RETRY_BURST, RETRY_RATIO} from './AdmissionConstants.ts';

/** Token bucket: each request adds a fraction of a token, up to a maximum; each retry takes one. */
export class RetryBudget {
  #tokens: number = RETRY_BURST;

  recordRequest(): void {
    this.#tokens = Math.min(RETRY_BURST, this.#tokens + RETRY_RATIO);
  }

  /** Takes a token for a retry; returns false when the budget is exhausted. */
  trySpend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
