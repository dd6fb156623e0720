/** Dispatches commands when the tenure, shares or cells of this process change. */

import type {Instant} from '@nutmegproxy/core';
import type {CellRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {MembershipContext} from './MembershipServices.ts';

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

export class MembershipNotifier {
  #hasLeft = false;
  #heldTenure = false;
  /** Epochs of the cells whose acquisition was dispatched. */
  readonly #ownedCells = new Map<string, number>();
  readonly #context: MembershipContext;
  #notifiedRevision = 0;

  constructor(context: MembershipContext) {
    this.#context = context;
  }

  /** Dispatches a change of tenure; called on each tick. */
  notifyTenure(now: Instant): void {
    const {node, state} = this.#context;
    const holdsTenure = state.holdsTenure(now);
    if (holdsTenure === this.#heldTenure) {
      return;
    }
    this.#heldTenure = holdsTenure;
    node.events.record(
      holdsTenure ? MEMBERSHIP_EVENTS.TENURE_GAINED : MEMBERSHIP_EVENTS.TENURE_LOST,
      {},
    );
    if (holdsTenure) {
      node.bus.dispatch(TENURE_GAINED, {until: state.expiresAt()});
    } else {
      node.bus.dispatch(TENURE_LOST, {at: now});
    }
  }

  /** Dispatches changes of the record; a new cell waits until its owner key has been read. */
  async notifyRecord(hasLeft: boolean): Promise<void> {
    const {node, view} = this.#context;
    const {modRevision, record} = view.reading;
    this.#notifyLostCells(hasLeft);
    if (hasLeft && !this.#hasLeft) {
      this.#hasLeft = true;
      node.bus.dispatch(MEMBER_REMOVED, {at: this.#context.now()});
      return;
    }
    if (modRevision !== this.#notifiedRevision) {
      this.#notifiedRevision = modRevision;
      const allotment = toAllotment(record, node.identity.dataCentre, modRevision);
      node.bus.dispatch(ALLOTMENT_CHANGED, allotment);
    }
    await this.#notifyNewCells();
  }

  #notifyLostCells(hasLeft: boolean): void {
    const ownCells = hasLeft ? [] : this.#findOwnCells();
    for (const [cell, epoch] of this.#ownedCells) {
      const isKept = ownCells.some((each) => each.cell === cell && each.epoch === epoch);
      if (!isKept) {
        this.#ownedCells.delete(cell);
        this.#context.node.events.record(MEMBERSHIP_EVENTS.CELL_LOST, {cell, epoch});
        this.#context.node.bus.dispatch(CELL_LOST, {cell: brand(cell), epoch});
      }
    }
  }

  async #notifyNewCells(): Promise<void> {
    const newCells = this.#findOwnCells().filter(({cell}) => !this.#ownedCells.has(cell));
    if (newCells.length === 0 || !this.#context.state.holdsTenure(this.#context.now())) {
      return;
    }
    const revisions = await this.#context.recordStore.readOwnerRevisions(newCells);
    if (revisions.isErr()) {
      return;
    }
    for (const {cell, epoch} of newCells) {
      const ownerRevision = revisions.value.get(cell);
      if (ownerRevision !== undefined) {
        this.#ownedCells.set(cell, epoch);
        this.#context.node.events.record(MEMBERSHIP_EVENTS.CELL_ACQUIRED, {cell, epoch});
        this.#context.node.bus.dispatch(CELL_ACQUIRED, {cell: brand(cell), epoch, ownerRevision});
      }
    }
  }

  #findOwnCells(): readonly CellRecord[] {
    const own = this.#context.node.identity.incarnation;
    return this.#context.view.record.cells.filter(({owner}) => owner === own);
  }
}
