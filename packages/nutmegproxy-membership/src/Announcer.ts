/** Tells the features of this process what has changed about its tenure, shares and cells. */

import type {Instant} from '@nutmegproxy/core';
import type {CellRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {MembershipParts} from './MembershipServices.ts';

import {toAllotment} from './AllotmentRecordUtils.ts';
import {
  ALLOTMENT_CHANGED,
  CELL_ACQUIRED,
  CELL_LOST,
  MEMBER_REMOVED,
  TENURE_GAINED,
  TENURE_LOST,
} from './MembershipCommands.ts';
import {MEMBERSHIP_EVENTS} from './MembershipEvents.ts';

export class Announcer {
  #ended = false;
  #heldTenure = false;
  /** Epochs of the cells that were announced as owned. */
  readonly #owned = new Map<string, number>();
  readonly #parts: MembershipParts;
  #revision = 0;

  constructor(parts: MembershipParts) {
    this.#parts = parts;
  }

  /** Announces the changes of tenure; called on each tick. */
  announceTenure(now: Instant): void {
    const {node, state} = this.#parts;
    const holds = state.holds(now);
    if (holds === this.#heldTenure) {
      return;
    }
    this.#heldTenure = holds;
    node.events.record(holds ? MEMBERSHIP_EVENTS.TENURE_GAINED : MEMBERSHIP_EVENTS.TENURE_LOST, {});
    if (holds) {
      node.bus.dispatch(TENURE_GAINED, {until: state.ends()});
    } else {
      node.bus.dispatch(TENURE_LOST, {at: now});
    }
  }

  /** Announces the changes of the record; cells wait until the store names their revision. */
  async announceRecord(ended: boolean): Promise<void> {
    const {node, view} = this.#parts;
    const {modRevision, record} = view.reading;
    this.#announceLostCells(ended);
    if (ended && !this.#ended) {
      this.#ended = true;
      node.bus.dispatch(MEMBER_REMOVED, {at: this.#parts.now()});
      return;
    }
    if (modRevision !== this.#revision) {
      this.#revision = modRevision;
      const allotment = toAllotment(record, node.identity.dataCentre, modRevision);
      node.bus.dispatch(ALLOTMENT_CHANGED, allotment);
    }
    await this.#announceNewCells();
  }

  #announceLostCells(ended: boolean): void {
    const own = ended ? [] : this.#ownCells();
    for (const [cell, epoch] of this.#owned) {
      const kept = own.some((each) => each.cell === cell && each.epoch === epoch);
      if (!kept) {
        this.#owned.delete(cell);
        this.#parts.node.events.record(MEMBERSHIP_EVENTS.CELL_LOST, {cell, epoch});
        this.#parts.node.bus.dispatch(CELL_LOST, {cell: brand(cell), epoch});
      }
    }
  }

  async #announceNewCells(): Promise<void> {
    const fresh = this.#ownCells().filter(({cell}) => !this.#owned.has(cell));
    if (fresh.length === 0 || !this.#parts.state.holds(this.#parts.now())) {
      return;
    }
    const revisions = await this.#parts.recordStore.readOwnerRevisions(fresh);
    if (revisions.isErr()) {
      return;
    }
    for (const {cell, epoch} of fresh) {
      const ownerRevision = revisions.value.get(cell);
      if (ownerRevision !== undefined) {
        this.#owned.set(cell, epoch);
        this.#parts.node.events.record(MEMBERSHIP_EVENTS.CELL_ACQUIRED, {cell, epoch});
        this.#parts.node.bus.dispatch(CELL_ACQUIRED, {cell: brand(cell), epoch, ownerRevision});
      }
    }
  }

  #ownCells(): readonly CellRecord[] {
    const own = this.#parts.node.identity.incarnation;
    return this.#parts.view.record.cells.filter(({owner}) => owner === own);
  }
}
