/** Starts the cells that this VM acquires and stops those that it no longer owns. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {CellId, EntryNode, Instant, TeamId} from '@nutmegproxy/core';
import type {CellOwnership, CellRelease, Membership} from '@nutmegproxy/membership';
import type {LaneOrder, Placement} from '@nutmegproxy/placement';
import type {CellSummary, Entry, Quota, Resources} from '@nutmegproxy/schema';
import type {LeaseId, PlatformStore} from '@nutmegproxy/store';
import type {VmDirectory, WorkerClient} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';

import type {OwnerParser, RecoveredCell} from './CellRecovery.ts';
import type {WorkerTimings} from './WorkerLink.ts';

import {sleep} from './AsyncUtils.ts';
import {Cell, getDeclaredResources} from './Cell.ts';
import {CellLog} from './CellLog.ts';
import {recoverCell} from './CellRecovery.ts';
import {CellRunner} from './CellRunner.ts';
import {isWorkerOf} from './CellUtils.ts';
import {computeConcurrencyShare} from './ConcurrencyShares.ts';
import {GroupCommit} from './GroupCommit.ts';
import {computeQuotaShares, formatCellName, listCells} from './QuotaShares.ts';
import {CellKeys} from './TaskKeys.ts';
import {
  RECOVERY_RETRY_MS,
  REMOVED_JOB_KEY_TTL_SECONDS,
  REMOVED_JOB_LEASE_MAX_AGE_MS,
  SUPERVISION_INTERVAL_MS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** Services that all cells of this VM use. */
export interface CellServices {
  readonly catalogue: CatalogueSource;
  /** Minimum time between two commits of this VM. */
  readonly commitIntervalMs: () => number;
  /** Creates a placement policy per cell, because a cell's reservations move with its owner. */
  readonly createPlacement: (cell: CellId) => Placement;
  readonly directory: VmDirectory;
  readonly keyPrefix: string;
  readonly laneOrder: LaneOrder;
  readonly membership: Membership;
  readonly parseOwner: OwnerParser;
  readonly store: PlatformStore;
  readonly timings: WorkerTimings;
  readonly workers: WorkerClient;
}

interface ManagedCell {
  readonly epoch: number;
  /** Instant before which a failed recovery is not retried. */
  retryAt: Instant;
  runner: CellRunner | undefined;
  state: 'idle' | 'recovering' | 'running';
}

/** Keeps one runner per owned cell. */
export class CellSupervisor {
  #closed = false;
  readonly #commit: GroupCommit;
  #draining = false;
  #removedJobLease: {readonly at: Instant; readonly lease: LeaseId} | undefined;
  #isGrantingLease = false;
  readonly #node: EntryNode;
  #cellNames: readonly string[] = [];
  #quotas: ReadonlyMap<CellId, ReadonlyMap<TeamId, Quota>> = new Map();
  /** Epochs in which cells were released; a cell is not recovered again in the same epoch. */
  readonly #releasedEpochs = new Map<CellId, number>();
  readonly #services: CellServices;
  readonly #managed = new Map<CellId, ManagedCell>();

  constructor(node: EntryNode, services: CellServices) {
    this.#commit = new GroupCommit(node, services.store, services.commitIntervalMs);
    this.#node = node;
    this.#services = services;
  }

  /** The cell if this VM owns it and has recovered it. */
  cell(id: string): Cell | undefined {
    const cell = this.#managed.get(id as CellId)?.runner?.cell;
    return cell?.isStopped ? undefined : cell;
  }

  close(): void {
    this.#closed = true;
    this.#managed.forEach(({runner}) => runner?.cell.stop());
    void this.#commit.close();
  }

  /**
   * Stops scheduling and settles once pending starts are sent and pending changes are committed.
   * Leases are renewed until the cells are handed over.
   */
  async drain(): Promise<void> {
    this.#draining = true;
    const runners = [...this.#managed.values()].flatMap(({runner}) => runner ?? []);
    await Promise.all(runners.map((runner) => runner.drain()));
    await this.#commit.flush();
  }

  /** Releases a cell for handover; calls `released` once nothing more is sent or written for it. */
  release({cell, epoch, released}: CellRelease): void {
    this.#releasedEpochs.set(cell, epoch);
    const managed = this.#managed.get(cell);
    void this.#handOver(managed?.epoch === epoch ? managed.runner : undefined, released);
  }

  /** Applies the current allotment periodically until closed. */
  async run(): Promise<void> {
    while (!this.#closed) {
      this.supervise(this.#node.clock.monotonic());
      await sleep(SUPERVISION_INTERVAL_MS);
    }
  }

  /** All recovered cells that this VM owns. */
  cells(): readonly Cell[] {
    return [...this.#managed.keys()].flatMap((id) => this.cell(id) ?? []);
  }

  /** Free capacity and queue lengths of the owned cells. */
  summaries(): CellSummary[] {
    return [...this.#managed.values()].flatMap(({runner}) => {
      if (!runner || runner.cell.isStopped || this.#draining) {
        return [];
      }
      const {epoch, id, table} = runner.cell;
      const jobs = [...table.jobs.values()];
      const queued = jobs.reduce((sum, job) => sum + job.queuedCount, 0);
      const queuedCpu = jobs.reduce(
        (sum, job) => sum + job.queuedCount * this.#getDeclaredCpu(job.entry),
        0,
      );
      const largest = this.#getLargestCapacity(id);
      return [{cell: id, epoch, freeCpu: runner.freeCpu(), largest, queued, queuedCpu}];
    });
  }

  /** One step of `run`: stops lost cells and starts recovery of acquired ones. */
  supervise(now: Instant): void {
    const owned = this.#findOwnedCells(now);
    for (const [id, managed] of this.#managed) {
      const isLost = owned.get(id)?.epoch !== managed.epoch;
      if (isLost || managed.runner?.cell.isStopped) {
        managed.runner?.cell.stop();
        this.#managed.delete(id);
      }
    }
    if (this.#draining) {
      return;
    }
    this.#updateQuotaShares([...owned.keys()]);
    this.#renewRemovedJobLease(now);
    for (const [id, {epoch}] of owned) {
      if (this.#releasedEpochs.get(id) === epoch) {
        continue;
      }
      const managed = this.#managed.get(id) ?? {
        epoch,
        retryAt: now,
        runner: undefined,
        state: 'idle',
      };
      this.#managed.set(id, managed);
      if (managed.state === 'idle' && managed.retryAt <= now) {
        void this.#recover(id, managed);
      }
    }
  }

  #concurrency(entry: Entry, cell: CellId): number {
    const {dataCentre} = this.#node.identity;
    return computeConcurrencyShare(
      entry,
      this.#cellNames,
      dataCentre,
      formatCellName(dataCentre, cell),
    );
  }

  #getDeclaredCpu(id: string): number {
    const entry = this.#services.catalogue.current().entries.get(id as never);
    return entry ? getDeclaredResources(entry).cpu : 0;
  }

  async #handOver(runner: CellRunner | undefined, released: () => void): Promise<void> {
    if (runner) {
      await runner.drain();
      await runner.cell.quiesce();
      runner.cell.stop();
    }
    released();
  }

  #shouldRun(id: CellId, managed: ManagedCell): boolean {
    const isReleased = this.#releasedEpochs.get(id) === managed.epoch;
    return this.#managed.get(id) === managed && !isReleased && !this.#closed && !this.#draining;
  }

  #getLargestCapacity(id: CellId): Resources {
    const {dataCentre} = this.#node.identity;
    const largest = {accelerators: 0, cpu: 0, memoryMb: 0};
    for (const vm of this.#services.directory.vms()) {
      if (vm.capacity && isWorkerOf(vm, dataCentre, id)) {
        largest.accelerators = Math.max(largest.accelerators, vm.capacity.accelerators);
        largest.cpu = Math.max(largest.cpu, vm.capacity.cpu);
        largest.memoryMb = Math.max(largest.memoryMb, vm.capacity.memoryMb);
      }
    }
    return largest;
  }

  async #recover(id: CellId, managed: ManagedCell): Promise<void> {
    managed.state = 'recovering';
    const {clock, events, identity} = this.#node;
    const {keyPrefix, parseOwner, store} = this.#services;
    const keys = new CellKeys(keyPrefix, identity.dataCentre, id);
    const recovered = await recoverCell(store, keys, parseOwner, identity.incarnation);
    const now = clock.monotonic();
    const shouldRun = this.#shouldRun(id, managed);
    const isCurrent = recovered.isOk() && recovered.value.position.epoch === managed.epoch;
    const holdsTenure = this.#services.membership.holdsTenure(now);
    if (recovered.isErr() || !isCurrent || !shouldRun || !holdsTenure) {
      if (recovered.isErr() && recovered.error.kind === 'malformed') {
        events.record(TASKS_EVENTS.LOG_MALFORMED, {cell: id, message: recovered.error.message});
      }
      managed.retryAt = after(now, RECOVERY_RETRY_MS);
      managed.state = 'idle';
      return;
    }
    this.#startRunner(id, managed, keys, recovered.value);
  }

  #findOwnedCells(now: Instant): Map<CellId, CellOwnership> {
    const {membership} = this.#services;
    const cells = membership.holdsTenure(now) ? membership.allotment()?.cells : undefined;
    const {incarnation} = this.#node.identity;
    return new Map([...(cells ?? [])].filter(([, {owner}]) => owner === incarnation));
  }

  #renewRemovedJobLease(now: Instant): void {
    const isFresh =
      this.#removedJobLease && now - this.#removedJobLease.at < REMOVED_JOB_LEASE_MAX_AGE_MS;
    if (!isFresh && !this.#isGrantingLease && this.#managed.size > 0) {
      void this.#grantRemovedJobLease();
    }
  }

  async #grantRemovedJobLease(): Promise<void> {
    this.#isGrantingLease = true;
    const response = await this.#services.store.grantLease(REMOVED_JOB_KEY_TTL_SECONDS);
    if (response.isOk()) {
      this.#removedJobLease = {at: this.#node.clock.monotonic(), lease: response.value.lease};
    } else {
      await sleep(RECOVERY_RETRY_MS);
    }
    this.#isGrantingLease = false;
  }

  #updateQuotaShares(owned: readonly CellId[]): void {
    const {catalogue, directory} = this.#services;
    const view = catalogue.current();
    const cells = listCells(directory.vms());
    this.#cellNames = cells;
    const {dataCentre} = this.#node.identity;
    const shares = owned.map(
      (id) => [id, computeQuotaShares(view, cells, formatCellName(dataCentre, id))] as const,
    );
    this.#quotas = new Map(shares);
  }

  #startRunner(id: CellId, managed: ManagedCell, keys: CellKeys, recovered: RecoveredCell): void {
    const {catalogue, createPlacement, directory, membership, timings, workers} = this.#services;
    const {position, table} = recovered;
    const cell = new Cell({
      acquiredAt: this.#node.clock.monotonic(),
      catalogue,
      epoch: managed.epoch,
      id,
      log: new CellLog(keys, this.#commit, position),
      membership,
      node: this.#node,
      placement: createPlacement(id),
      table,
    });
    managed.runner = new CellRunner(cell, {
      client: workers,
      concurrency: (entry) => this.#concurrency(entry, id),
      directory,
      isStoreHealthy: () => this.#commit.isHealthy,
      keyPrefix: this.#services.keyPrefix,
      laneOrder: this.#services.laneOrder,
      quotas: () => this.#quotas.get(id) ?? new Map(),
      removedJobLease: () => this.#removedJobLease?.lease,
      timings,
    });
    managed.state = 'running';
    const fields = {cell: id, epoch: managed.epoch, live: table.liveCount, tasks: table.taskCount};
    this.#node.events.record(TASKS_EVENTS.CELL_ACQUIRED, fields);
    void managed.runner.run();
  }
}
