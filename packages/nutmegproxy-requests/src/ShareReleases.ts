/** Shares that membership wants to give up: reported free once nothing uses them. */

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

  /** The ledger's share of this minion has been lowered already. */
  add(release: ShareRelease): void {
    this.#pending.set(release.minion, release);
    this.reportFreed();
  }

  /** Reports those that have become free. */
  reportFreed(): void {
    for (const [minion, release] of this.#pending) {
      if (this.#ledger.isWithinShare(minion)) {
        this.#pending.delete(minion);
        release.released();
      }
    }
  }
}
