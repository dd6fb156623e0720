/** Releases of shares requested by membership; confirmed once their slots are no longer in use. */

import type {MinionId} from '@nutmegproxy/core';
import type {ShareRelease} from '@nutmegproxy/membership';

import type {SlotLedger} from './SlotLedger.ts';

/** Pending releases, one per minion. */
export class ShareReleases {
  readonly #ledger: SlotLedger;
  readonly #pending = new Map<MinionId, ShareRelease>();

  constructor(ledger: SlotLedger) {
    this.#ledger = ledger;
  }

  /** Adds a release; the minion's share in the ledger must already be reduced. */
  add(release: ShareRelease): void {
    this.#pending.set(release.minion, release);
    this.reportFreed();
  }

  /** Confirms the releases whose slots are free. */
  reportFreed(): void {
    for (const [minion, release] of this.#pending) {
      if (this.#ledger.isWithinShare(minion)) {
        this.#pending.delete(minion);
        release.released();
      }
    }
  }
}
