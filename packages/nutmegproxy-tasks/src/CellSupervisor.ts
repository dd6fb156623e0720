/** Runs the cells that this VM owns: takes them over, and stops those that it owns no longer. */

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

import {wait} from './AsyncUtils.ts';
import {Cell, declaredOf} from './Cell.ts';
import {CellLog} from './CellLog.ts';
import {recoverCell} from './CellRecovery.ts';
import {CellRunner} from './CellRunner.ts';
import {isWorkerOf} from './CellUtils.ts';
import {concurrencyShare} from './ConcurrencyShares.ts';
import {GroupCommit} from './GroupCommit.ts';
import {cellName, knownCells, quotaShares} from './QuotaShares.ts';
import {CellKeys} from './TaskKeys.ts';
import {
  FORGOTTEN_KEY_TTL_SECONDS,
  FORGOTTEN_LEASE_AGE_MS,
  RECOVERY_RETRY_MS,
  SUPERVISION_INTERVAL_MS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** What the cells work with. */
export interface CellServices {
  readonly catalogue: CatalogueSource;
  /** Least time between two commits of this VM. */
  readonly commitIntervalMs: () => number;
  /** Makes a policy of its own for each cell: a cell's reservations go with its owner. */
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

interface Slot {
  readonly epoch: number;
  /** Instant before which a failed recovery is not tried again. */
  retryAt: Instant;
  runner: CellRunner | undefined;
  state: 'idle' | 'recovering' | 'running';
}

/** Keeps one runner per owned cell. */
export class CellSupervisor {
  #closed = false;
  readonly #commit: GroupCommit;
  #draining = false;
  #forgotten: {readonly at: Instant; readonly lease: LeaseId} | undefined;
  #granting = false;
  readonly #node: EntryNode;
  #knownCells: readonly string[] = [];
  #quotas: ReadonlyMap<CellId, ReadonlyMap<TeamId, Quota>> = new Map();
  /** Epochs under which cells were given up; they are not taken up again. */
  readonly #released = new Map<CellId, number>();
  readonly #services: CellServices;
  readonly #slots = new Map<CellId, Slot>();

  constructor(node: EntryNode, services: CellServices) {
    this.#commit = new GroupCommit(node, services.store, services.commitIntervalMs);
    this.#node = node;
    this.#services = services;
  }

  /** A recovered cell that this VM owns. */
  cell(id: string): Cell | undefined {
    const cell = this.#slots.get(id as CellId)?.runner?.cell;
    return cell?.stopped ? undefined : cell;
  }

  close(): void {
    this.#closed = true;
    this.#slots.forEach(({runner}) => runner?.cell.stop());
    void this.#commit.close();
  }

  /**
   * Decides nothing more and settles once all decisions are sent and written. Leases are renewed
   * until the cells are handed over.
   */
  async drain(): Promise<void> {
    this.#draining = true;
    const runners = [...this.#slots.values()].flatMap(({runner}) => runner ?? []);
    await Promise.all(runners.map((runner) => runner.drain()));
    await this.#commit.flushed();
  }

  /** Hands a cell over: `released` is called once nothing is sent or written for it any more. */
  release({cell, epoch, released}: CellRelease): void {
    this.#released.set(cell, epoch);
    const slot = this.#slots.get(cell);
    void this.#handOver(slot?.epoch === epoch ? slot.runner : undefined, released);
  }

  /** Follows the allotment until closed. */
  async run(): Promise<void> {
    while (!this.#closed) {
      this.supervise(this.#node.clock.monotonic());
      await wait(SUPERVISION_INTERVAL_MS);
    }
  }

  /** The recovered cells that this VM owns. */
  cells(): readonly Cell[] {
    return [...this.#slots.keys()].flatMap((id) => this.cell(id) ?? []);
  }

  /** Rooms of the owned cells. */
  summaries(): CellSummary[] {
    return [...this.#slots.values()].flatMap(({runner}) => {
      if (!runner || runner.cell.stopped || this.#draining) {
        return [];
      }
      const {epoch, id, table} = runner.cell;
      const jobs = [...table.jobs.values()];
      const queued = jobs.reduce((sum, job) => sum + job.queued, 0);
      const queuedCpu = jobs.reduce((sum, job) => sum + job.queued * this.#cpuOf(job.entry), 0);
      const largest = this.#largest(id);
      return [{cell: id, epoch, freeCpu: runner.freeCpu(), largest, queued, queuedCpu}];
    });
  }

  /** One step of `run`: stops lost cells at once, and takes over new ones. */
  supervise(now: Instant): void {
    const owned = this.#ownedCells(now);
    for (const [id, slot] of this.#slots) {
      const lost = owned.get(id)?.epoch !== slot.epoch;
      if (lost || slot.runner?.cell.stopped) {
        slot.runner?.cell.stop();
        this.#slots.delete(id);
      }
    }
    if (this.#draining) {
      return;
    }
    this.#shareQuotas([...owned.keys()]);
    this.#renewForgottenLease(now);
    for (const [id, {epoch}] of owned) {
      if (this.#released.get(id) === epoch) {
        continue;
      }
      const slot = this.#slots.get(id) ?? {epoch, retryAt: now, runner: undefined, state: 'idle'};
      this.#slots.set(id, slot);
      if (slot.state === 'idle' && slot.retryAt <= now) {
        void this.#open(id, slot);
      }
    }
  }

  #concurrency(entry: Entry, cell: CellId): number {
    const {dataCentre} = this.#node.identity;
    return concurrencyShare(entry, this.#knownCells, dataCentre, cellName(dataCentre, cell));
  }

  #cpuOf(id: string): number {
    const entry = this.#services.catalogue.current().entries.get(id as never);
    return entry ? declaredOf(entry).cpu : 0;
  }

  async #handOver(runner: CellRunner | undefined, released: () => void): Promise<void> {
    if (runner) {
      await runner.drain();
      await runner.cell.quiesce();
      runner.cell.stop();
    }
    released();
  }

  #isWanted(id: CellId, slot: Slot): boolean {
    const released = this.#released.get(id) === slot.epoch;
    return this.#slots.get(id) === slot && !released && !this.#closed && !this.#draining;
  }

  #largest(id: CellId): Resources {
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

  async #open(id: CellId, slot: Slot): Promise<void> {
    slot.state = 'recovering';
    const {clock, events, identity} = this.#node;
    const {keyPrefix, parseOwner, store} = this.#services;
    const keys = new CellKeys(keyPrefix, identity.dataCentre, id);
    const recovered = await recoverCell(store, keys, parseOwner, identity.incarnation);
    const now = clock.monotonic();
    const wanted = this.#isWanted(id, slot);
    const current = recovered.isOk() && recovered.value.position.epoch === slot.epoch;
    const tenure = this.#services.membership.holdsTenure(now);
    if (recovered.isErr() || !current || !wanted || !tenure) {
      if (recovered.isErr() && recovered.error.kind === 'malformed') {
        events.record(TASKS_EVENTS.LOG_MALFORMED, {cell: id, message: recovered.error.message});
      }
      slot.retryAt = after(now, RECOVERY_RETRY_MS);
      slot.state = 'idle';
      return;
    }
    this.#start(id, slot, keys, recovered.value);
  }

  #ownedCells(now: Instant): Map<CellId, CellOwnership> {
    const {membership} = this.#services;
    const cells = membership.holdsTenure(now) ? membership.allotment()?.cells : undefined;
    const {incarnation} = this.#node.identity;
    return new Map([...(cells ?? [])].filter(([, {owner}]) => owner === incarnation));
  }

  #renewForgottenLease(now: Instant): void {
    const fresh = this.#forgotten && now - this.#forgotten.at < FORGOTTEN_LEASE_AGE_MS;
    if (!fresh && !this.#granting && this.#slots.size > 0) {
      void this.#grantForgottenLease();
    }
  }

  async #grantForgottenLease(): Promise<void> {
    this.#granting = true;
    const answer = await this.#services.store.grantLease(FORGOTTEN_KEY_TTL_SECONDS);
    if (answer.isOk()) {
      this.#forgotten = {at: this.#node.clock.monotonic(), lease: answer.value.lease};
    } else {
      await wait(RECOVERY_RETRY_MS);
    }
    this.#granting = false;
  }

  #shareQuotas(owned: readonly CellId[]): void {
    const {catalogue, directory} = this.#services;
    const view = catalogue.current();
    const cells = knownCells(directory.vms());
    this.#knownCells = cells;
    const {dataCentre} = this.#node.identity;
    const shares = owned.map(
      (id) => [id, quotaShares(view, cells, cellName(dataCentre, id))] as const,
    );
    this.#quotas = new Map(shares);
  }

  #start(id: CellId, slot: Slot, keys: CellKeys, recovered: RecoveredCell): void {
    const {catalogue, createPlacement, directory, membership, timings, workers} = this.#services;
    const {position, table} = recovered;
    const cell = new Cell({
      acquiredAt: this.#node.clock.monotonic(),
      catalogue,
      epoch: slot.epoch,
      id,
      log: new CellLog(keys, this.#commit, position),
      membership,
      node: this.#node,
      placement: createPlacement(id),
      table,
    });
    slot.runner = new CellRunner(cell, {
      client: workers,
      concurrency: (entry) => this.#concurrency(entry, id),
      directory,
      forgottenLease: () => this.#forgotten?.lease,
      healthy: () => this.#commit.healthy,
      keyPrefix: this.#services.keyPrefix,
      laneOrder: this.#services.laneOrder,
      quotas: () => this.#quotas.get(id) ?? new Map(),
      timings,
    });
    slot.state = 'running';
    const fields = {cell: id, epoch: slot.epoch, live: table.liveCount, tasks: table.taskCount};
    this.#node.events.record(TASKS_EVENTS.CELL_ACQUIRED, fields);
    void slot.runner.run();
  }
}
