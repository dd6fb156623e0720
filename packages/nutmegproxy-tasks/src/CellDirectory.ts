/** Free capacity and owner of each cell, as its owner last reported them. */

import type {CellId, DataCentreId, Instant, NodeIdentity} from '@nutmegproxy/core';
import type {CellSummary} from '@nutmegproxy/schema';

import {SUMMARY_MAX_AGE_MS} from './TasksConstants.ts';

/** A cell to which jobs can be submitted. */
export interface CellCandidate {
  readonly cell: CellId;
  readonly dataCentre: DataCentreId;
  readonly owner: NodeIdentity;
  readonly summary: CellSummary;
}

interface TrackedCell extends CellCandidate {
  /** Declared processors of the tasks submitted to the cell since its summary. */
  assignedCpu: number;
  readonly receivedAt: Instant;
}

const MAX_CELLS = 8192;

function formatKey(dataCentre: string, cell: string): string {
  return `${dataCentre}/${cell}`;
}

/** Keeps the latest summary of each cell. */
export class CellDirectory {
  readonly #cells = new Map<string, TrackedCell>();

  /** Stores the summaries of `owner`, except those with an older epoch than the known summary. */
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

  /** Adds the processors of tasks submitted to a cell; they count until its next summary. */
  addAssignedCpu(candidate: CellCandidate, cpu: number): void {
    const tracked = this.#cells.get(formatKey(candidate.dataCentre, candidate.cell));
    if (tracked) {
      tracked.assignedCpu += cpu;
    }
  }

  /** Cells with a recent summary, those in `home` first, then by descending free capacity. */
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
