/** Shares and cells that this process is giving up, and which of them are free of work by now. */

import type {CommandBus} from '@nutmegproxy/core';
import type {CellRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {ShareSurplus} from './SharePlan.ts';

import {CELL_RELEASE_WANTED, SHARE_RELEASE_WANTED} from './MembershipCommands.ts';

interface Release<Wanted> {
  free: boolean;
  readonly wanted: Wanted;
}

/** A release that was begun is always carried through, so that no late write can surprise. */
export class ReleaseBook {
  readonly #bus: CommandBus;
  readonly #cells = new Map<string, Release<CellRecord>>();
  readonly #shares = new Map<string, Release<ShareSurplus>>();

  constructor(bus: CommandBus) {
    this.#bus = bus;
  }

  /** Cells that are free of work. */
  freeCells(): readonly CellRecord[] {
    return [...this.#cells.values()].filter(({free}) => free).map(({wanted}) => wanted);
  }

  /** What to keep of each share whose surplus is free of work. */
  freeShares(): ReadonlyMap<string, number> {
    const free = [...this.#shares.values()].filter((release) => release.free);
    return new Map(free.map(({wanted}) => [wanted.minion, wanted.keep]));
  }

  /** Whether something is being given up. */
  isPending(): boolean {
    return this.#cells.size > 0 || this.#shares.size > 0;
  }

  /** Slots of a minion that stay usable while some are being given up. */
  keptShare(minion: string): number {
    return this.#shares.get(minion)?.wanted.keep ?? Infinity;
  }

  /** Begins to give up a cell. */
  releaseCell(cell: CellRecord): void {
    if (this.#cells.get(cell.cell)?.wanted.epoch === cell.epoch) {
      return;
    }
    const release = {free: false, wanted: cell};
    this.#cells.set(cell.cell, release);
    const released = () => {
      release.free = true;
    };
    const payload = {cell: brand<never>(cell.cell), epoch: cell.epoch, released};
    if (!this.#bus.dispatch(CELL_RELEASE_WANTED, payload)) {
      released();
    }
  }

  /** Begins to give up slots of one minion; a lower `keep` replaces an earlier one. */
  releaseShare(surplus: ShareSurplus): void {
    if (this.keptShare(surplus.minion) <= surplus.keep) {
      return;
    }
    const release = {free: false, wanted: surplus};
    this.#shares.set(surplus.minion, release);
    const released = () => {
      release.free = true;
    };
    const payload = {keep: surplus.keep, minion: brand<never>(surplus.minion), released};
    if (!this.#bus.dispatch(SHARE_RELEASE_WANTED, payload)) {
      released();
    }
  }

  /** Forgets what the record shows as given up. */
  settle(
    ownShare: (minion: string) => number,
    ownEpoch: (cell: string) => number | undefined,
  ): void {
    for (const [minion, {wanted}] of this.#shares) {
      if (ownShare(minion) <= wanted.keep) {
        this.#shares.delete(minion);
      }
    }
    for (const [cell, {wanted}] of this.#cells) {
      if (ownEpoch(cell) !== wanted.epoch) {
        this.#cells.delete(cell);
      }
    }
  }
}
