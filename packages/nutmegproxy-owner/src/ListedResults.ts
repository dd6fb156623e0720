/** Results that one incarnation of a minion has listed; each incarnation numbers them anew from 1. */

import type {RunResult} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';

import type {Journal} from './Journal.ts';

import {UNACKNOWLEDGED_PAUSE_MS} from './OwnerConstants.ts';

export class ListedResults {
  #acknowledgedThrough = 0;
  #appliedThrough = 0;
  #listed: readonly RunResult[] = [];

  /** Highest sequence number up to which all results are stored; 0 for none. */
  get acknowledgedThrough(): number {
    return this.#acknowledgedThrough;
  }

  /** Highest sequence number up to which all results are applied; 0 for none. */
  get appliedThrough(): number {
    return this.#appliedThrough;
  }

  /** Results that are applied but may not be stored yet; the minion lists them again. */
  get unstored(): readonly RunResult[] {
    return this.#listed.filter(({sequence}) => sequence > this.#acknowledgedThrough);
  }

  /** Records that the results of a listing are applied: all that the minion has kept. */
  recordApplied(listed: readonly RunResult[]): void {
    this.#listed = listed;
    this.#appliedThrough = Math.max(this.#appliedThrough, ...listed.map(({sequence}) => sequence));
  }

  /**
   * Waits for a bounded time until the results that are applied now are stored. Also later than that they
   * may be acknowledged once they are.
   */
  async awaitStored(journal: Pick<Journal, 'flush'>): Promise<void> {
    const appliedThrough = this.#appliedThrough;
    const stored = journal.flush().then(() => {
      this.#acknowledgedThrough = Math.max(this.#acknowledgedThrough, appliedThrough);
    });
    await Promise.race([stored, delay(UNACKNOWLEDGED_PAUSE_MS)]);
  }
}
