/** What the owners of cells say about their room, and who owns which cell. */

import type {CellId, DataCentreId, Instant, NodeIdentity} from '@nutmegproxy/core';
import type {CellSummary} from '@nutmegproxy/schema';

import {SUMMARY_MAX_AGE_MS} from './TasksConstants.ts';

/** A cell that jobs may be sent to. */
export interface CellCandidate {
  readonly cell: CellId;
  readonly dataCentre: DataCentreId;
  readonly owner: NodeIdentity;
  readonly summary: CellSummary;
}

interface TrackedCell extends CellCandidate {
  /** Declared processors of the tasks sent there since the summary. */
  assignedCpu: number;
  readonly receivedAt: Instant;
}

const MAX_CELLS = 8192;

function formatKey(dataCentre: string, cell: string): string {
  return `${dataCentre}/${cell}`;
}

/** Keeps the newest summary of each cell. */
export class CellDirectory {
  readonly #cells = new Map<string, TrackedCell>();

  /** Takes in what `owner` says about its cells; an older epoch does not replace a newer one. */
  update(owner: NodeIdentity, summaries: readonly CellSummary[], now: Instant): void {
    for (const summary of summaries) {
      const key = formatKey(owner.dataCentre, summary.cell);
      const known = this.#cells.get(key);
      const isNewer = !known || summary.epoch >= known.summary.epoch;
      if (isNewer && (known || this.#cells.size < MAX_CELLS)) {
        const cell = summary.cell as CellId;
        const {dataCentre} = owner;
        this.#cells.set(key, {assignedCpu: 0, cell, dataCentre, owner, receivedAt: now, summary});
      }
    }
  }

  /** Counts processors of tasks that were sent to a cell, until its next summary. */
  addAssignedCpu(candidate: CellCandidate, cpu: number): void {
    const tracked = this.#cells.get(formatKey(candidate.dataCentre, candidate.cell));
    if (tracked) {
      tracked.assignedCpu += cpu;
    }
  }

  /** Offers that are recent, most room first; those of `home` come before all others. */
  listCandidates(home: DataCentreId, now: Instant): CellCandidate[] {
    const recent = [...this.#cells.values()].filter(
      ({receivedAt}) => now - receivedAt <= SUMMARY_MAX_AGE_MS,
    );
    return recent.sort(
      (a, b) =>
        Number(b.dataCentre === home) - Number(a.dataCentre === home) ||
        getFreeCpu(b) - getFreeCpu(a),
    );
  }

  /** The last known owner of a cell. */
  owner(dataCentre: string, cell: string): NodeIdentity | undefined {
    return this.#cells.get(formatKey(dataCentre, cell))?.owner;
  }
}

function getFreeCpu(tracked: TrackedCell): number {
  return tracked.summary.freeCpu - tracked.summary.queuedCpu - tracked.assignedCpu;
}
