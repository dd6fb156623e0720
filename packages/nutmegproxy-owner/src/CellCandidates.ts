/** Acquires the ownership of the fleet's cells and spreads them over the entry VMs. */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {StoredValue} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {listCells} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';

import type {CandidateOptions} from './OwnerCandidate.ts';
import type {CellHolder} from './OwnerPreference.ts';
import type {KnownCellCount} from './StoredCellCount.ts';

import {OwnerCandidate} from './OwnerCandidate.ts';
import {HANDOVER_CHECK_INTERVAL_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {countCellsOfLarger, shouldSpread} from './OwnerPreference.ts';
import {CELL_COUNT_KEY, compareCellCount, isOfOtherCount} from './StoredCellCount.ts';

/** Another entry VM that may own cells. */
export interface CellVm {
  /** Processor time in cores. */
  readonly cores: number;
  readonly vm: VmId;
}

export interface CellCandidatesOptions extends Omit<
  CandidateOptions,
  | 'cell'
  | 'cellsOfLarger'
  | 'count'
  | 'isBlocked'
  | 'onCountChange'
  | 'onOwnerChange'
  | 'otherCells'
  | 'otherCores'
> {
  /** The number of cells that this VM goes by. */
  readonly count: () => KnownCellCount;
  /** The other entry VMs that are known. */
  readonly others: () => readonly CellVm[];
}

const OTHER_COUNT_OWNS = 'a VM owns a cell under another number of cells';
const COUNT_CHANGED = 'another number of cells is stored';

export class CellCandidates {
  #candidates: readonly OwnerCandidate[] = [];
  #endRun: (() => void) | undefined;
  /** The number that the candidates go by. */
  #known: KnownCellCount | undefined;
  readonly #options: CellCandidatesOptions;
  /** The last owner of each cell that this VM knows of. */
  #ownerByCell = new Map<CellIndex, VmId>();
  #ownerVms: ReadonlySet<VmId> = new Set();
  #stopped = false;

  constructor(options: CellCandidatesOptions) {
    this.#options = options;
  }

  /** Whether this VM owns a part of the fleet. */
  get isOwner(): boolean {
    return this.#findLatestOwned() !== undefined;
  }

  /** Whether the next owners of what this VM owns would begin little anew. */
  get mayHandOver(): boolean {
    return this.#candidates.every((candidate) => candidate.mayHandOver);
  }

  /** The VMs that own cells or did last, as far as this one knows; a new set after each change. */
  get ownerVms(): ReadonlySet<VmId> {
    return this.#ownerVms;
  }

  /**
   * Acquires ownerships until `stop` is called, or until another number of cells is stored: then all ownerships
   * have ended, and it can be called again.
   */
  async run(): Promise<void> {
    const {count, events, others, ownCores, vm} = this.#options;
    const known = count();
    const candidates = listCells(this.#stopped ? 0 : known.cells).map(
      (cell) =>
        new OwnerCandidate({
          ...this.#options,
          cell,
          cellsOfLarger: () => countCellsOfLarger(ownCores, this.#listOthers()),
          count: known,
          isBlocked: () => this.#isBlocked(),
          onCountChange: () => {
            this.#endRun?.();
          },
          onOwnerChange: () => {
            this.#recordOwner(cell);
            this.#releaseIfBlocked();
          },
          otherCells: () => this.#countEngaged(cell),
          otherCores: () => others().map(({cores}) => cores),
        }),
    );
    const changed = new Promise<void>((resolve) => {
      this.#endRun = resolve;
    });
    this.#candidates = candidates;
    this.#known = known;
    this.#ownerByCell = new Map();
    const runs = candidates.map((candidate) => candidate.run());
    if (runs.length > 1) {
      void this.#spread(candidates);
    }
    const ended = Promise.all(runs);
    await Promise.race([ended, changed]);
    this.#known = undefined;
    if (!this.#stopped) {
      events.record(OWNER_EVENTS.CELL_COUNT_CHANGED, {...known, vm});
      await Promise.all(candidates.map((candidate) => candidate.stop(COUNT_CHANGED)));
    }
    await ended;
  }

  /**
   * Ends all ownerships if the store has another number of cells than this VM goes by. The value comes from a
   * read that may be older than the number, so it is confirmed. A malformed one ends none: it gives no VM another
   * number.
   */
  async checkCount(stored: StoredValue | undefined): Promise<void> {
    const known = this.#known;
    if (known === undefined || compareCellCount(known, stored) !== 'other') {
      return;
    }
    const read = await getKey(this.#options.store, CELL_COUNT_KEY);
    const isOther = read.isOk() && compareCellCount(known, read.value) === 'other';
    if (isOther && known === this.#known) {
      this.#endRun?.();
    }
  }

  /** Starts nothing any more on what this VM owns. */
  windDown(): void {
    for (const candidate of this.#candidates) {
      candidate.windDown();
    }
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

  /** Whether a cell has an owner under another number of cells, as one of a version has that knows one cell. */
  #isBlocked(): boolean {
    const known = this.#known;
    return (
      known !== undefined &&
      this.#candidates.some(({ownerValue}, cell) =>
        isOfOtherCount(known, cell as CellIndex, ownerValue),
      )
    );
  }

  /** Ends all ownerships beside such an owner: it takes their minions for its own. */
  #releaseIfBlocked(): void {
    if (this.#isBlocked()) {
      for (const candidate of this.#candidates) {
        candidate.release(OTHER_COUNT_OWNS);
      }
    }
  }

  #listOthers(): readonly CellHolder[] {
    return this.#options.others().map(({cores, vm}) => ({
      cells: this.#candidates.filter(({ownerVm}) => ownerVm === vm).length,
      cores,
    }));
  }

  /** Notes who owns a cell; while it is free, its last owner counts, so that a change is made once. */
  #recordOwner(cell: CellIndex): void {
    const vm = this.#candidates[cell]?.ownerVm;
    if (vm !== undefined && vm !== this.#ownerByCell.get(cell)) {
      this.#ownerByCell.set(cell, vm);
      this.#ownerVms = new Set(this.#ownerByCell.values());
    }
  }

  /**
   * Gives up a cell at a time while another VM owns two fewer: until a cell that was given up has an owner, the
   * numbers that VMs own are not known.
   */
  async #spread(candidates: readonly OwnerCandidate[]): Promise<void> {
    const {clock, ownCores} = this.#options;
    while (!this.#stopped) {
      await delay(HANDOVER_CHECK_INTERVAL_MS);
      if (this.#candidates !== candidates) {
        return;
      }
      const latest = this.#findLatestOwned();
      const owned = this.#candidates.filter(({ownedSince}) => ownedSince !== undefined).length;
      const self = {cells: owned, cores: ownCores};
      const ownedMs = latest === undefined ? 0 : clock.monotonic() - latest.since;
      const areOwnersKnown = candidates.every(({isOwnerKnown}) => isOwnerKnown);
      if (areOwnersKnown && shouldSpread(self, this.#listOthers(), ownedMs)) {
        latest?.candidate.release('another VM owns fewer cells');
      }
    }
  }
}
