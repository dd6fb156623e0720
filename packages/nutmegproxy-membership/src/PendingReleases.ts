/** Shares and cells that this process is giving up, and which of them are free of work by now. */

import type {CommandBus} from '@nutmegproxy/core';
import type {CellRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {ShareSurplus} from './SharePlan.ts';

import {CELL_RELEASE_WANTED, SHARE_RELEASE_WANTED} from './MembershipCommands.ts';

interface PendingRelease<Wanted> {
  isReleased: boolean;
  readonly target: Wanted;
}

/** A release that was begun is always carried through, so that no late write can surprise. */
export class PendingReleases {
  readonly #bus: CommandBus;
  readonly #cells = new Map<string, PendingRelease<CellRecord>>();
  readonly #shares = new Map<string, PendingRelease<ShareSurplus>>();

  constructor(bus: CommandBus) {
    this.#bus = bus;
  }

  /** Cells that are free of work. */
  getReleasedCells(): readonly CellRecord[] {
    return [...this.#cells.values()].filter(({isReleased}) => isReleased).map(({target}) => target);
  }

  /** What to keep of each share whose surplus is free of work. */
  getReleasedShares(): ReadonlyMap<string, number> {
    const released = [...this.#shares.values()].filter((release) => release.isReleased);
    return new Map(released.map(({target}) => [target.minion, target.keep]));
  }

  /** Whether something is being given up. */
  isPending(): boolean {
    return this.#cells.size > 0 || this.#shares.size > 0;
  }

  /** Slots of a minion that stay usable while some are being given up. */
  getKeptSlots(minion: string): number {
    return this.#shares.get(minion)?.target.keep ?? Infinity;
  }

  /** Begins to give up a cell. */
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

  /** Begins to give up slots of one minion; a lower `keep` replaces an earlier one. */
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

  /** Forgets what the record shows as given up. */
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
