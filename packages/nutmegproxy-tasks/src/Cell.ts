/** One owned cell: its table, its log, and the ownership check before each action. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {CellId, EntryNode, Instant, TeamId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {Placement} from '@nutmegproxy/placement';
import type {Entry, Resources, TaskChange} from '@nutmegproxy/schema';

import type {AppendOptions, AppendOutcome, CellLog} from './CellLog.ts';
import type {TaskTable} from './TaskTable.ts';

import {DEFAULT_DECLARED_CPU, DEFAULT_DECLARED_MEMORY_MB} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** Options of a cell. */
export interface CellOptions {
  /** Instant at which the log was read under this ownership. */
  readonly acquiredAt: Instant;
  readonly catalogue: CatalogueSource;
  readonly epoch: number;
  readonly id: CellId;
  readonly log: CellLog;
  readonly membership: Membership;
  readonly node: EntryNode;
  readonly placement: Placement;
  readonly table: TaskTable;
}

/**
 * Resources that an entry declares for one task.
 *
 * @example
 * const declared = getDeclaredResources(entry); // {cpu: 1, memoryMb: 1024, accelerators: 0}
 */
export function getDeclaredResources(entry: Entry): Resources {
  return {
    accelerators: entry.limits.accelerators ?? 0,
    cpu: entry.limits.cpu ?? DEFAULT_DECLARED_CPU,
    memoryMb: entry.limits.memoryMb ?? DEFAULT_DECLARED_MEMORY_MB,
  };
}

/** State of an owned cell, shared by the loops that manage it. */
export class Cell {
  readonly acquiredAt: Instant;
  readonly catalogue: CatalogueSource;
  readonly epoch: number;
  readonly id: CellId;
  readonly node: EntryNode;
  readonly placement: Placement;
  readonly table: TaskTable;
  #pendingAppends = 0;
  readonly #log: CellLog;
  readonly #membership: Membership;
  #closing = false;
  #onIdle: (() => void) | undefined;
  #stopped = false;
  #truncation: Promise<void> | undefined;

  constructor(options: CellOptions) {
    this.acquiredAt = options.acquiredAt;
    this.catalogue = options.catalogue;
    this.epoch = options.epoch;
    this.id = options.id;
    this.node = options.node;
    this.placement = options.placement;
    this.table = options.table;
    this.#log = options.log;
    this.#membership = options.membership;
  }

  get isStopped(): boolean {
    return this.#stopped;
  }

  /**
   * Commits changes, then applies them to the table. Returns false when they were not committed;
   * the cell's ownership may then be lost.
   */
  async commit(changes: readonly TaskChange[], options: AppendOptions = {}): Promise<boolean> {
    const outcome = await this.append(changes, options);
    return outcome.kind === 'committed';
  }

  /** Like `commit`, but returns the full outcome. */
  async append(
    changes: readonly TaskChange[],
    options: AppendOptions = {},
  ): Promise<AppendOutcome> {
    while (this.#truncation) {
      await this.#truncation;
    }
    if (this.#stopped || this.#closing) {
      return {kind: 'lost'};
    }
    this.#pendingAppends += 1;
    const outcome = await this.#log.append(changes, options);
    this.#pendingAppends -= 1;
    if (outcome.kind === 'committed') {
      changes.forEach((change) => {
        this.table.apply(change);
      });
    }
    if (outcome.kind === 'lost') {
      this.#handleLost();
    }
    if (this.#pendingAppends === 0) {
      this.#onIdle?.();
    }
    return outcome;
  }

  /** Entry of the current catalogue. */
  entry(id: string): Entry | undefined {
    return this.catalogue.current().entries.get(id as never);
  }

  /**
   * Whether this process may still act for the cell. It is checked after each await and before each
   * message to a worker.
   */
  mayAct(now: Instant): boolean {
    return !this.#stopped && this.#membership.holdsTenure(now);
  }

  /** Rejects further changes; settles once the pending ones have settled. */
  async quiesce(): Promise<void> {
    this.#closing = true;
    await this.#truncation;
    await this.#waitUntilIdle();
  }

  /** Stops all actions for the cell immediately. */
  stop(): void {
    if (!this.#stopped) {
      this.#stopped = true;
      this.node.events.record(TASKS_EVENTS.CELL_STOPPED, {cell: this.id, epoch: this.epoch});
    }
  }

  getTeam(entry: Entry | undefined): TeamId {
    return (entry?.owner ?? '') as TeamId;
  }

  /** Writes a snapshot if one is due. Appends are blocked only until the table is copied. */
  async truncate(): Promise<void> {
    if (!this.#log.isSnapshotDue || this.#truncation || this.#stopped) {
      return;
    }
    let resumeAppends: () => void = () => undefined;
    this.#truncation = new Promise((resolve) => {
      resumeAppends = resolve;
    });
    await this.#waitUntilIdle();
    const written = this.#log.snapshot(this.table);
    this.#truncation = undefined;
    resumeAppends();
    if ((await written) === 'lost') {
      this.#handleLost();
    }
  }

  #handleLost(): void {
    if (!this.#stopped) {
      this.node.events.record(TASKS_EVENTS.CELL_LOST, {cell: this.id, epoch: this.epoch});
    }
    this.stop();
  }

  async #waitUntilIdle(): Promise<void> {
    if (this.#pendingAppends > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
      this.#onIdle = undefined;
    }
  }
}
