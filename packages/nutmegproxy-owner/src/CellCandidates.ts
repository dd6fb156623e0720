/** Acquires the ownership of the fleet's cells and spreads them over the entry VMs. */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';

import {delay} from '@nutmegproxy/core';
import {listCells} from '@nutmegproxy/jobs';

import type {CandidateOptions} from './OwnerCandidate.ts';
import type {CellHolder} from './OwnerPreference.ts';

import {OwnerCandidate} from './OwnerCandidate.ts';
import {HANDOVER_CHECK_INTERVAL_MS} from './OwnerConstants.ts';
import {shouldSpread} from './OwnerPreference.ts';

/** Another entry VM that may own cells. */
export interface CellVm {
  /** Processor time in cores. */
  readonly cores: number;
  readonly vm: VmId;
}

export interface CellCandidatesOptions extends Omit<
  CandidateOptions,
  'cell' | 'otherCells' | 'otherCores'
> {
  /** Number of cells of the fleet. */
  readonly cells: () => number;
  /** The other entry VMs that are known. */
  readonly others: () => readonly CellVm[];
}

export class CellCandidates {
  #candidates: readonly OwnerCandidate[] = [];
  readonly #options: CellCandidatesOptions;
  #stopped = false;

  constructor(options: CellCandidatesOptions) {
    this.#options = options;
  }

  /** Whether this VM owns a part of the fleet. */
  get isOwner(): boolean {
    return this.#findLatestOwned() !== undefined;
  }

  /** Whether the next owners of what this VM owns would begin little anew. */
  get isSettled(): boolean {
    return this.#candidates.every((candidate) => candidate.isSettled);
  }

  async run(): Promise<void> {
    const {cells, others} = this.#options;
    this.#candidates = listCells(cells()).map(
      (cell) =>
        new OwnerCandidate({
          ...this.#options,
          cell,
          otherCells: () => this.#countEngaged(cell),
          otherCores: () => others().map(({cores}) => cores),
        }),
    );
    const runs = this.#candidates.map((candidate) => candidate.run());
    await Promise.all(runs.length > 1 ? [...runs, this.#spread()] : runs);
  }

  /** Releases the ownerships that this VM has, and acquires none again. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#candidates.map((candidate) => candidate.stop()));
  }

  /** Returns how many other cells this VM owns or tries to acquire. */
  #countEngaged(cell: CellIndex): number {
    return this.#candidates.filter(({isEngaged}, index) => index !== cell && isEngaged).length;
  }

  /** Returns the candidate of the cell that this VM acquired last. */
  #findLatestOwned(): undefined | {readonly candidate: OwnerCandidate; readonly since: Instant} {
    return this.#candidates
      .flatMap((candidate) => {
        const since = candidate.ownedSince;
        return since === undefined ? [] : [{candidate, since}];
      })
      .reduce<undefined | {candidate: OwnerCandidate; since: Instant}>(
        (latest, each) => (latest === undefined || each.since > latest.since ? each : latest),
        undefined,
      );
  }

  #listOthers(): readonly CellHolder[] {
    return this.#options.others().map(({cores, vm}) => ({
      cells: this.#candidates.filter(({ownerVm}) => ownerVm === vm).length,
      cores,
    }));
  }

  /** Gives up a cell at a time while another VM owns two fewer. */
  async #spread(): Promise<void> {
    const {clock, ownCores} = this.#options;
    while (!this.#stopped) {
      await delay(HANDOVER_CHECK_INTERVAL_MS);
      const latest = this.#findLatestOwned();
      const owned = this.#candidates.filter(({ownedSince}) => ownedSince !== undefined).length;
      const self = {cells: owned, cores: ownCores};
      const ownedMs = latest === undefined ? 0 : clock.monotonic() - latest.since;
      if (shouldSpread(self, this.#listOthers(), ownedMs)) {
        latest?.candidate.release('another VM owns fewer cells');
      }
    }
  }
}
