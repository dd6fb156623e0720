/** Shares and cells that this process is releasing, and which of them no longer have work. */

import type {CommandBus} from '@nutmegproxy/core';
import type {CellRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {ShareSurplus} from './SharePlan.ts';

import {CELL_RELEASE_WANTED, SHARE_RELEASE_WANTED} from './MembershipCommands.ts';

interface PendingRelease<Target> {
  isReleased: boolean;
  readonly target: Target;
}

/** A release cannot be cancelled, so that a write that takes effect late is always valid. */
export class PendingReleases {
  readonly #bus: CommandBus;
  readonly #cells = new Map<string, PendingRelease<CellRecord>>();
  readonly #shares = new Map<string, PendingRelease<ShareSurplus>>();

  constructor(bus: CommandBus) {
    this.#bus = bus;
  }

  /** Returns the cells that no longer have work. */
  getReleasedCells(): readonly CellRecord[] {
    return [...this.#cells.values()].filter(({isReleased}) => isReleased).map(({target}) => target);
  }

  /** Returns the slots to keep of each share whose surplus is idle, by minion. */
  getReleasedShares(): ReadonlyMap<string, number> {
    const released = [...this.#shares.values()].filter((release) => release.isReleased);
    return new Map(released.map(({target}) => [target.minion, target.keep]));
  }

  /** Whether any release is in progress. */
  isPending(): boolean {
    return this.#cells.size > 0 || this.#shares.size > 0;
  }

  /** Returns the slots of a minion that stay usable; Infinity when none are being released. */
  getKeptSlots(minion: string): number {
    return this.#shares.get(minion)?.target.keep ?? Infinity;
  }

  /** Starts to release a cell. */
  releaseCell(cell: CellRecord): void {
    if (this.#cells.get(cell.cell)?.target.epoch === cell.epoch) {
      return;
    }
    const pendingRelease = {isReleased: false, target: cell};
    this.#cells.set(cell.cell, pendingRelease);
    const released = () => {
      pendingRelease.isReleased = true;
    };
    const payload = {cell: brand<never>(cell.cell), epoch: cell.epoch, released};
    if (!this.#bus.dispatch(CELL_RELEASE_WANTED, payload)) {
      released();
    }
  }

  /** Starts to release slots of a minion; a lower `keep` replaces an earlier one. */
  releaseShare(surplus: ShareSurplus): void {
    if (this.getKeptSlots(surplus.minion) <= surplus.keep) {
      return;
    }
    const pendingRelease = {isReleased: false, target: surplus};
    this.#shares.set(surplus.minion, pendingRelease);
    const released = () => {
      pendingRelease.isReleased = true;
    };
    const payload = {keep: surplus.keep, minion: brand<never>(surplus.minion), released};
    if (!this.#bus.dispatch(SHARE_RELEASE_WANTED, payload)) {
      released();
    }
  }

  /** Removes the releases that the record shows as completed. */
  removeCompleted(
    getOwnShare: (minion: string) => number,
    getOwnEpoch: (cell: string) => number | undefined,
  ): void {
    for (const [minion, {target}] of this.#shares) {
      if (getOwnShare(minion) <= target.keep) {
        this.#shares.delete(minion);
      }
    }
    for (const [cell, {target}] of this.#cells) {
      if (getOwnEpoch(cell) !== target.epoch) {
        this.#cells.delete(cell);
      }
    }
  }
}
