/**
 * Lets a minion get work once it is stored that it may have runs of this owner. The use of a draining
 * minion is stored only after its draining record of this term: the next owner takes the record of an
 * earlier term for outdated once a later owner has used the minion, and all tasks would wait for the
 * longest lease if this owner were killed between the two writes. A draining minion gets no runs
 * meanwhile, and its lease is renewed as that of any minion whose use is not stored.
 */

import type {Fleet, MinionState} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {MinionRecovery} from './MinionRecovery.ts';
import type {Roster} from './Roster.ts';

import {POLL_RETRY_MS, UNACKNOWLEDGED_PAUSE_MS} from './OwnerConstants.ts';

export interface MinionEnrollmentOptions {
  readonly fleet: Fleet;
  readonly onChange: () => void;
  readonly ownership: FleetOwnership;
  readonly recovery: Pick<MinionRecovery, 'recordUse'>;
  readonly roster: Roster;
}

export class MinionEnrollment {
  readonly #options: MinionEnrollmentOptions;

  constructor(options: MinionEnrollmentOptions) {
    this.#options = options;
  }

  /**
   * Records the use of a minion whose runs are known, and registers the minion once that is stored.
   * Resolves then, or after a short time; a draining minion without a record has to be tried again.
   *
   * @example
   * await enrollment.recordUse(minion);
   * minion.isRegistered; // true unless the store is slow or the minion drains
   */
  async recordUse(minion: MinionState): Promise<void> {
    const {onChange, ownership, roster} = this.#options;
    const added = roster.add([minion.description]);
    const {isDraining} = minion.description;
    if (isDraining && roster.find(minion.id)?.draining?.term !== ownership.term) {
      // The next round of planning makes the record, unless a silent record has to be removed first.
      await delay(POLL_RETRY_MS);
      return;
    }
    const used = isDraining
      ? added.then(() => this.#recordUse(minion))
      : Promise.all([added, this.#recordUse(minion)]);
    const stored = used.then(() => {
      minion.isRegistered = true;
      onChange();
    });
    await Promise.race([stored, delay(UNACKNOWLEDGED_PAUSE_MS)]);
  }

  /** Records the use, unless the minion was forgotten meanwhile. */
  async #recordUse(minion: MinionState): Promise<void> {
    const {fleet, recovery} = this.#options;
    if (fleet.minions.get(minion.id) === minion) {
      await recovery.recordUse(minion);
    }
  }
}
