/** Runs one owned cell with a scheduling loop and one loop per worker. */

import type {AttemptId, EntryId, Instant, RackId, WallTime, WorkerId} from '@nutmegproxy/core';
import type {LaneOrder} from '@nutmegproxy/placement';
import type {Entry, Quota, StartIntended, TaskStart, Throttle, Vm} from '@nutmegproxy/schema';
import type {LeaseId} from '@nutmegproxy/store';
import type {VmDirectory, WorkerClient} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';

import type {Cell} from './Cell.ts';
import type {Task} from './TaskModel.ts';
import type {WorkerTimings} from './WorkerLink.ts';

import {sleep} from './AsyncUtils.ts';
import {getDeclaredResources} from './Cell.ts';
import {isWorkerOf} from './CellUtils.ts';
import {getJobHash} from './JobIds.ts';
import {omitUndefined} from './ObjectUtils.ts';
import {groupByWorker, TaskDispatch} from './TaskDispatch.ts';
import {getJobKey} from './TaskKeys.ts';
import {
  DECISION_INTERVAL_MS,
  DEFAULT_RUN_TIME_MS,
  ENDED_JOB_RETENTION_MS,
  MAX_ENDED_JOBS,
  MAX_MIGRATIONS_PER_ROUND,
  MAX_REMOVED_JOBS_PER_ROUND,
} from './TasksConstants.ts';
import {WorkerLink} from './WorkerLink.ts';

/** Services that a runner needs besides its cell. */
export interface RunnerServices {
  readonly client: WorkerClient;
  /** Maximum number of tasks of the entry that run in this cell at one time. */
  readonly concurrency: (entry: Entry) => number;
  readonly directory: VmDirectory;
  /** Whether the store accepts writes; while it does not, nothing is started or evicted. */
  readonly isStoreHealthy: () => boolean;
  readonly keyPrefix: string;
  readonly laneOrder: LaneOrder;
  readonly quotas: () => ReadonlyMap<string, Quota>;
  /** Store lease for the keys of removed jobs; undefined until the store has granted one. */
  readonly removedJobLease: () => LeaseId | undefined;
  readonly timings: WorkerTimings;
}

/** Scheduling loop and worker links of one cell. */
export class CellRunner {
  readonly cell: Cell;
  readonly #dispatch: TaskDispatch;
  #isDraining = false;
  readonly #links = new Map<WorkerId, WorkerLink>();
  #roundCount = 0;
  readonly #services: RunnerServices;
  readonly #pendingStarts = new Set<Promise<void>>();

  constructor(cell: Cell, services: RunnerServices) {
    this.cell = cell;
    this.#dispatch = new TaskDispatch(cell, services.laneOrder, services.concurrency);
    this.#services = services;
  }

  /** Stops scheduling and settles once pending starts are sent; leases continue to be renewed. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    await Promise.all(this.#pendingStarts);
  }

  /** Free processors of the reachable workers. */
  freeCpu(): number {
    let free = 0;
    for (const link of this.#links.values()) {
      const capacity = this.#services.directory.vm(link.id as never)?.capacity;
      if (link.isReachable && capacity) {
        const reservedCpu = [...link.liveTasks.values()].map(({reserved}) => reserved?.cpu ?? 0);
        free += reservedCpu.reduce((sum, cpu) => sum - cpu, capacity.cpu);
      }
    }
    return Math.max(0, free);
  }

  /** Restores the reservations in the log, then schedules until the cell stops. */
  async run(): Promise<void> {
    const {clock} = this.cell.node;
    this.#updateWorkers(clock.monotonic());
    this.#restoreReservations(clock.monotonic(), clock.wall());
    while (!this.cell.isStopped) {
      const now = clock.monotonic();
      if (this.cell.mayAct(now)) {
        this.#runRound(now, clock.wall());
      }
      await sleep(DECISION_INTERVAL_MS);
    }
    this.#links.forEach((link) => {
      link.close();
    });
  }

  /** Restores the reservations of all attempts in the log, including those of unknown outcome. */
  #restoreReservations(now: Instant, wall: WallTime): void {
    for (const task of this.cell.table.liveTasks) {
      this.#getLink(task).add(task);
      const entry = this.cell.entry(task.job.entry);
      const startedAt = after(now, (task.startedAt ?? wall) - wall);
      if (task.reserved) {
        this.cell.placement.adopt(
          {
            attempt: task.attempt as AttemptId,
            checkpointable: entry?.checkpoint === true,
            class: entry?.class ?? 'batch',
            declared: entry ? getDeclaredResources(entry) : task.reserved,
            declaredRunTimeMs: entry?.limits.runTimeMs ?? DEFAULT_RUN_TIME_MS,
            entry: task.job.entry as EntryId,
            queuedAt: startedAt,
            reserved: task.reserved,
            startedAt,
            team: this.cell.getTeam(entry),
            worker: task.worker as WorkerId,
          },
          now,
        );
      }
    }
  }

  async #evict(victims: Iterable<AttemptId>): Promise<void> {
    const changes = this.#dispatch.createEvictions(victims);
    if (changes.length > 0) {
      await this.cell.commit(changes);
      this.#dispatch.settleEvictions(changes.map(({attempt}) => attempt as AttemptId));
    }
  }

  /** Removes ended jobs from the table; their keys stay in the store until a lease expires. */
  async #removeEndedJobs(wall: WallTime): Promise<void> {
    const lease = this.#services.removedJobLease();
    const excess = this.cell.table.endedJobs.size - MAX_ENDED_JOBS;
    const jobs = [];
    for (const job of this.cell.table.endedJobs) {
      const isExpired = wall - (job.endedAt ?? wall) > ENDED_JOB_RETENTION_MS;
      if (jobs.length >= MAX_REMOVED_JOBS_PER_ROUND || (!isExpired && jobs.length >= excess)) {
        break;
      }
      jobs.push(job);
    }
    if (lease === undefined || jobs.length === 0) {
      return;
    }
    await this.cell.commit(
      jobs.map(({id}) => ({job: id, kind: 'job-forgotten'})),
      {
        lease,
        removedJobs: jobs.map(({id}) => ({
          job: id,
          key: getJobKey(this.#services.keyPrefix, getJobHash(id)),
        })),
      },
    );
  }

  /** Link of the task's worker; creates it if the list of VMs does not contain the worker. */
  #getLink(task: Task): WorkerLink {
    const id = task.worker as WorkerId;
    return this.#links.get(id) ?? this.#openLink(id, '');
  }

  #updateWorkers(now: Instant): void {
    const {dataCentre} = this.cell.node.identity;
    const present = new Set<WorkerId>();
    for (const vm of this.#services.directory.vms()) {
      if (isWorkerOf(vm, dataCentre, this.cell.id)) {
        present.add(vm.id as WorkerId);
        this.#setWorker(vm, now);
      }
    }
    for (const [id, link] of this.#links) {
      if (!present.has(id)) {
        this.cell.placement.removeWorker(id, now);
        if (link.liveTasks.size === 0) {
          link.close();
          this.#links.delete(id);
        }
      }
    }
  }

  /** Attempts on drained or leaving workers that can resume on another worker. */
  #findMigrations(): AttemptId[] {
    const migrations: AttemptId[] = [];
    for (const link of this.#links.values()) {
      const vm = this.#services.directory.vm(link.id as never);
      if (vm && this.#isDrained(vm)) {
        for (const [attempt, task] of link.liveTasks) {
          const canMigrate = this.cell.entry(task.job.entry)?.checkpoint === true;
          if (
            canMigrate &&
            task.state === 'running' &&
            migrations.length < MAX_MIGRATIONS_PER_ROUND
          ) {
            migrations.push(attempt as AttemptId);
          }
        }
      }
    }
    return migrations;
  }

  /**
   * Adds a committed attempt to its worker's link. When a cancellation was committed first there is
   * no attempt, and the reservation is released.
   */
  #registerAttempt(attempt: string, link: undefined | WorkerLink): void {
    const task = this.cell.table.findByAttempt(attempt);
    if (task) {
      link?.add(task);
    } else {
      const now = this.cell.node.clock.monotonic();
      this.cell.placement.release(attempt as AttemptId, 'refused', now);
    }
  }

  #isDrained(vm: Vm): boolean {
    const catalogue = this.cell.catalogue.current();
    return (
      vm.state === 'leaving' ||
      catalogue.isDrained('worker', vm.id) ||
      catalogue.isDrained('rack', vm.rack ?? '') ||
      catalogue.isDrained('data-centre', vm.dataCentre)
    );
  }

  #openLink(id: WorkerId, address: string): WorkerLink {
    const {client, timings} = this.#services;
    const link = new WorkerLink(this.cell, client, {address, id}, timings);
    this.#links.set(id, link);
    void link.run();
    return link;
  }

  #runRound(now: Instant, wall: WallTime): void {
    this.#roundCount += 1;
    this.#updateWorkers(now);
    this.cell.placement.setQuotas(this.#services.quotas() as never, now);
    this.#updateThrottles(now);
    if (this.#isDraining || !this.#services.isStoreHealthy()) {
      return;
    }
    const round = this.#dispatch.decide({now, wall});
    if (round.intents.length > 0) {
      this.#trackStart(this.#startAttempts(round.intents));
    }
    const victims = [
      ...round.victims,
      ...this.cell.placement.evictions(now),
      ...this.#findMigrations(),
    ];
    void this.#evict(new Set(victims));
    if (this.#roundCount % HOUSEKEEPING_INTERVAL_ROUNDS === 0) {
      void this.#removeEndedJobs(wall);
      void this.cell.truncate();
    }
  }

  #setWorker(vm: Vm, now: Instant): void {
    const id = vm.id as WorkerId;
    const link = this.#links.get(id) ?? this.#openLink(id, vm.address);
    link.address = vm.address;
    this.cell.placement.setWorker(
      {
        capacity: vm.capacity ?? {accelerators: 0, cpu: 0, memoryMb: 0},
        // An unreachable worker receives no new attempts.
        drained: !link.isReachable || this.#isDrained(vm),
        id,
        rack: (vm.rack ?? '') as RackId,
      },
      now,
    );
  }

  async #startAttempts(intents: readonly StartIntended[]): Promise<void> {
    const committed = await this.cell.commit(intents);
    this.#dispatch.settleIntents(intents);
    if (!committed) {
      return;
    }
    const sent = [...groupByWorker(intents)].map(async ([worker, group]) => {
      const link = this.#links.get(worker);
      group.forEach(({attempt}) => {
        this.#registerAttempt(attempt, link);
      });
      await link?.start(group.flatMap((intent) => this.#createStart(intent)));
    });
    await Promise.all(sent);
  }

  #createStart(intent: StartIntended): TaskStart[] {
    const task = this.cell.table.findByAttempt(intent.attempt);
    if (!task) {
      return [];
    }
    return [
      omitUndefined({
        attempt: intent.attempt,
        cellEpoch: this.cell.epoch,
        checkpoint: task.checkpoint,
        entry: task.job.entry,
        input: task.job.input,
        leaseMs: this.#services.timings.leaseMs,
        reserved: intent.reserved,
        startBefore: intent.startBefore,
        task: intent.task,
      }),
    ];
  }

  #updateThrottles(now: Instant): void {
    const throttlesByLink = new Map<WorkerLink, Throttle[]>();
    for (const throttle of this.cell.placement.throttles(now)) {
      const task = this.cell.table.findByAttempt(throttle.attempt);
      const link = task && this.#links.get(task.worker as WorkerId);
      if (link) {
        throttlesByLink.set(link, [...(throttlesByLink.get(link) ?? []), throttle]);
      }
    }
    this.#links.forEach((link) => {
      link.setThrottles(throttlesByLink.get(link) ?? []);
    });
  }

  #trackStart(start: Promise<void>): void {
    this.#pendingStarts.add(start);
    void start.finally(() => this.#pendingStarts.delete(start));
  }
}

const HOUSEKEEPING_INTERVAL_ROUNDS = 50;
