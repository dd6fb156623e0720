/** What the owners of cells say about their room, and who owns which cell. */

import type {CellId, DataCentreId, Instant, NodeIdentity} from '@nutmegproxy/core';
import type {CellSummary} from '@nutmegproxy/schema';

import {SUMMARY_MAX_AGE_MS} from './TasksConstants.ts';

/** A cell that jobs may be sent to. */
export interface CellOffer {
  readonly cell: CellId;
  readonly dataCentre: DataCentreId;
  readonly owner: NodeIdentity;
  readonly summary: CellSummary;
}

interface Account extends CellOffer {
  /** Declared processors of the tasks sent there since the summary. */
  assignedCpu: number;
  readonly heardAt: Instant;
}

const MAX_CELLS = 8192;

function keyOf(dataCentre: string, cell: string): string {
  return `${dataCentre}/${cell}`;
}

/** Keeps the newest summary of each cell. */
export class SummaryBoard {
  readonly #accounts = new Map<string, Account>();

  /** Takes in what `owner` says about its cells; an older epoch does not replace a newer one. */
  note(owner: NodeIdentity, summaries: readonly CellSummary[], now: Instant): void {
    for (const summary of summaries) {
      const key = keyOf(owner.dataCentre, summary.cell);
      const known = this.#accounts.get(key);
      const newer = !known || summary.epoch >= known.summary.epoch;
      if (newer && (known || this.#accounts.size < MAX_CELLS)) {
        const cell = summary.cell as CellId;
        const {dataCentre} = owner;
        this.#accounts.set(key, {assignedCpu: 0, cell, dataCentre, heardAt: now, owner, summary});
      }
    }
  }

  /** Counts processors of tasks that were sent to a cell, until its next summary. */
  noteAssigned(offer: CellOffer, cpu: number): void {
    const account = this.#accounts.get(keyOf(offer.dataCentre, offer.cell));
    if (account) {
      account.assignedCpu += cpu;
    }
  }

  /** Offers that are recent, most room first; those of `home` come before all others. */
  offers(home: DataCentreId, now: Instant): CellOffer[] {
    const recent = [...this.#accounts.values()].filter(
      ({heardAt}) => now - heardAt <= SUMMARY_MAX_AGE_MS,
    );
    return recent.sort(
      (a, b) =>
        Number(b.dataCentre === home) - Number(a.dataCentre === home) || roomOf(b) - roomOf(a),
    );
  }

  /** The last known owner of a cell. */
  owner(dataCentre: string, cell: string): NodeIdentity | undefined {
    return this.#accounts.get(keyOf(dataCentre, cell))?.owner;
  }
}

function roomOf(account: Account): number {
  return account.summary.freeCpu - account.summary.queuedCpu - account.assignedCpu;
}
