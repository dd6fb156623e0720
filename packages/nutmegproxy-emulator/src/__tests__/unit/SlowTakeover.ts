/**
 * A fleet of the size of grown albarrada whose owner is killed, and VMs of a given speed that take it up:
 * 246 minions, 1,200 jobs and 35,000 tasks, of which 2,000 run, 4,000 wait and the others wait for these.
 */

import type {EventFields, EventKind, EventSink, JobId, MinionId, VmId} from '@nutmegproxy/core';
import type {QueueId, StepShape} from '@nutmegproxy/jobs';
import type {FleetOwnership} from '@nutmegproxy/owner';
import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {brand, DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';
import {Owner, OwnerCandidate} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES, SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {MemoryStore, StoreEngine} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';

import type {EmulatedLoop} from './EmulatedLoop.ts';
import type {Term} from './TermLog.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {EmulatedVms} from './EmulatedVms.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  QUEUE,
  submitJob,
} from './JobSamples.ts';
import {LoopMinions} from './LoopMinions.ts';
import {LoopStore} from './LoopStore.ts';
import {FIRST_ROUND_MS, LATER_ROUND_MS, PLANNED_START_MS} from './TakeoverCosts.ts';
import {runForever} from './TakeoverHarness.ts';
import {TermLog} from './TermLog.ts';

const MINIONS = 246;
const CORES_PER_MINION = 16;
/** Jobs that the former owner works on: each has tasks that run and others that wait for their end. */
const FORMER_JOBS = 1_000;
const RUNNING_TASKS_PER_JOB = 2;
const LATER_TASKS_PER_JOB = 29;
/** Jobs that are submitted while nobody owns the fleet. */
const WAITING_JOBS = 200;
const WAITING_TASKS_PER_JOB = 20;
/** The queue of deferrable jobs. */
const DEFERRABLE_QUEUE: QueuePolicy = {...QUEUE, id: 'digests' as QueueId, priority: 2};
const RUNNING_TASKS = FORMER_JOBS * RUNNING_TASKS_PER_JOB;
/** Expected duration of a task in milliseconds; longer than a play. */
const TASK_MS = 120_000;
/** When the former owner is killed, if all tasks run by then that it can start. */
const KILL_AT_MS = 8_000;
/** Time in milliseconds between two removals of leases that have expired at the store. */
const EXPIRY_INTERVAL_MS = 20;
const SLOW_VMS = 3;
/** Longest time in milliseconds after the kill until tasks are started that a test waits for. */
const START_LIMIT_MS = 30_000;

/** Number of the waiting tasks for which there is room beside those that run. */
export const FITTING_TASKS = MINIONS * CORES_PER_MINION - RUNNING_TASKS;

interface VmParts {
  readonly events: EventSink;
  readonly loop: EmulatedLoop;
  readonly store: PlatformStore;
}

export interface SlowVm {
  readonly loop: EmulatedLoop;
  readonly name: string;
}

/** Jobs that are submitted while nobody owns the fleet. */
export interface WaitingWork {
  /** Whether their starts may be delayed in favour of other queues. */
  readonly isDeferrable: boolean;
  /** Time in milliseconds after which minions carry out a start. */
  readonly startsAfterMs: number;
  readonly tasksPerJob: number;
}

const URGENT_WORK: WaitingWork = {
  isDeferrable: false,
  startsAfterMs: 0,
  tasksPerJob: WAITING_TASKS_PER_JOB,
};

export class SlowTakeover {
  /** When a VM's event loop began to stand still. */
  hungAtMs = NaN;
  readonly slowVms: SlowVm[] = [];
  readonly vms = new EmulatedVms();
  readonly #engine = new StoreEngine();
  readonly #factor: number;
  readonly #minions = new Map<MinionId, EmulatedMinion>();
  /** When each of the waiting tasks was first started, in milliseconds. */
  #startsAfterMs = 0;
  readonly #startedMs = new Map<string, number>();
  readonly #store: MemoryStore;
  readonly #termLog = new TermLog();
  #submitted = 0;
  readonly #waitingJobs = new Set<JobId>();
  readonly #waitingWork: WaitingWork;

  constructor(factor: number, waitingWork = URGENT_WORK) {
    this.#factor = factor;
    this.#waitingWork = waitingWork;
    this.#store = new MemoryStore(this.vms.clock, this.#engine);
    for (let index = 0; index < MINIONS; index += 1) {
      this.#addMinion(`m${index}`);
    }
  }

  /** The terms after that of the former owner. */
  get terms(): readonly Term[] {
    return this.#termLog.terms;
  }

  get minions(): readonly EmulatedMinion[] {
    return [...this.#minions.values()];
  }

  /** Runs the former owner, kills it and starts the slow VMs. */
  async prepare(): Promise<void> {
    await this.#submitJobs(0, FORMER_JOBS, [
      createStepShape({count: RUNNING_TASKS_PER_JOB, estimateMs: TASK_MS}),
      createStepShape({after: [0], count: LATER_TASKS_PER_JOB, estimateMs: TASK_MS}),
    ]);
    this.vms.replaceTimers();
    this.#expireLeases();
    const former = this.#startVm('former', 1);
    await this.vms.runUntil(KILL_AT_MS);
    assert.equal(this.countLiveRuns(), RUNNING_TASKS);
    former.kill();
    this.#termLog.clear();
    const {isDeferrable, startsAfterMs, tasksPerJob} = this.#waitingWork;
    this.#startsAfterMs = startsAfterMs;
    const step = createStepShape({count: tasksPerJob, estimateMs: TASK_MS});
    const queue = isDeferrable ? DEFERRABLE_QUEUE : QUEUE;
    await this.#submitJobs(FORMER_JOBS, WAITING_JOBS, [step], queue.id);
    for (let index = 1; index <= SLOW_VMS; index += 1) {
      const name = `slow-${index}`;
      this.slowVms.push({loop: this.#startVm(name, this.#factor, index / SLOW_VMS), name});
    }
  }

  /** Lets time pass, in milliseconds from the kill of the former owner on. */
  async passUntil(sinceKillMs: number): Promise<void> {
    await this.vms.runUntil(KILL_AT_MS + sinceKillMs);
    for (const minion of this.minions) {
      minion.advance(this.vms.nowMs);
    }
  }

  /** Lets time pass until a number of the waiting tasks were started. */
  async passUntilStarted(count: number): Promise<void> {
    await this.vms.runUntil(KILL_AT_MS + START_LIMIT_MS, () => this.#startedMs.size >= count);
    assert.ok(this.#startedMs.size >= count, this.describe());
  }

  /** Lets the event loop of a VM stand still for a time, in milliseconds. */
  hang(vm: string, durationMs: number): void {
    const loop = this.slowVms.find(({name}) => name === vm)?.loop;
    loop?.addImmediate(() => {
      this.hungAtMs = loop.clock.monotonic();
      loop.charge(durationMs / this.#factor);
    });
  }

  /** Submits a job of one task for which callers wait; returns the task. */
  async submitUrgentTask(): Promise<string> {
    const number = FORMER_JOBS + WAITING_JOBS + this.#submitted;
    this.#submitted += 1;
    await this.#submitJobs(number, 1, [createStepShape({estimateMs: TASK_MS})]);
    return formatTaskName({index: 0, job: createStoredJob(number, []).id, occurrence: 0, step: 0});
  }

  /** Returns when one of the waiting tasks was first started, in milliseconds. */
  findStartedMs(task: string): number | undefined {
    return this.#startedMs.get(task);
  }

  close(): void {
    this.vms.restoreTimers();
  }

  /** Returns the number of waiting tasks that were started until an instant. */
  countStarted(untilMs = Infinity): number {
    return [...this.#startedMs.values()].filter((atMs) => atMs <= untilMs).length;
  }

  countLiveRuns(): number {
    return this.minions.reduce((sum, {liveTasks}) => sum + liveTasks.length, 0);
  }

  /** Returns the tasks of which two runs were live at a time. */
  findTasksRunTwice(): string[] {
    const runs = this.minions
      .flatMap(({records}) => records)
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
    const endsMs = new Map<string, number>();
    const twice = new Set<string>();
    for (const {endedAtMs = Infinity, startedAtMs, task} of runs) {
      if (startedAtMs < (endsMs.get(task) ?? -Infinity)) {
        twice.add(task);
      }
      endsMs.set(task, Math.max(endedAtMs, endsMs.get(task) ?? -Infinity));
    }
    return [...twice];
  }

  /** Returns what happened in each term, for the message of an assertion. */
  describe(): string {
    const terms = this.#termLog.describe(KILL_AT_MS);
    const longestMs = Math.max(...this.slowVms.map(({loop}) => loop.longestTurnMs));
    const turn = `longest turn ${Math.round(longestMs)} ms`;
    const counts = `${this.#startedMs.size} started and ${this.countLiveRuns()} run at the end`;
    return [...terms, counts, turn].join('\n');
  }

  #addMinion(name: string): void {
    const capacity = {cpuMilli: CORES_PER_MINION * 1_000, gpus: 0, memoryMb: 64_000};
    const minion = new EmulatedMinion(createMinionDescription(name, {capacity}), (task) => {
      const name = formatTaskName(task);
      if (this.#waitingJobs.has(task.job) && !this.#startedMs.has(name)) {
        this.#startedMs.set(name, this.vms.nowMs);
      }
      return runForever();
    });
    this.#minions.set(minion.description.id, minion);
  }

  #createOwner({events, loop, store}: VmParts, ownership: FleetOwnership): Owner {
    const minions = new LoopMinions(this.vms, loop, this.#minions);
    minions.startsAfterMs = this.#startsAfterMs;
    const term = this.#termLog.find(ownership.term);
    minions.onStart = () => {
      if (term?.lostMs !== undefined) {
        term.startsAfterLoss += 1;
      }
    };
    minions.onStarted = () => {
      if (term !== undefined) {
        term.lastStartedMs = this.vms.nowMs;
      }
    };
    const queues = [QUEUE, DEFERRABLE_QUEUE];
    let hasPlanned = false;
    return new Owner({
      advice: undefined,
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock: loop.clock,
      directory: minions,
      events,
      machines: undefined,
      orders: minions,
      ownership,
      // The owner asks for the queues at the start of each round.
      queues: () => {
        loop.charge(hasPlanned ? LATER_ROUND_MS : FIRST_ROUND_MS);
        hasPlanned = true;
        return queues;
      },
      statusRetentionMs: 0,
      store,
    });
  }

  /** Removes the leases at the store that have expired, as the platform's store does by itself. */
  #expireLeases(): void {
    this.#engine.expire(this.vms.nowMs);
    this.vms.schedule(this.vms.nowMs + EXPIRY_INTERVAL_MS, () => {
      this.#expireLeases();
    });
  }

  #handleEvent(kind: EventKind, fields: EventFields, vm: string, loop: EmulatedLoop): void {
    if (kind === SCHEDULING_EVENTS.RUN_PLACED) {
      loop.charge(PLANNED_START_MS);
    }
    const nowMs = loop.clock.monotonic();
    this.#termLog.record(kind, fields, {nowMs, started: this.#startedMs.size, vm});
  }

  #startVm(name: string, factor: number, random = 0): EmulatedLoop {
    const loop = this.vms.addLoop(factor);
    const store = new LoopStore(this.vms, loop, this.#store);
    const events: EventSink = {
      record: (kind, fields) => {
        this.#handleEvent(kind, fields, name, loop);
      },
    };
    loop.addImmediate(() => {
      const candidate = new OwnerCandidate({
        canOwn: () => true,
        clock: loop.clock,
        createOwner: (ownership) => this.#createOwner({events, loop, store}, ownership),
        events,
        leaseTimes: DEFAULT_LEASE_TIMES,
        otherCores: () => [1],
        ownCores: 1,
        random: () => random,
        store,
        vm: brand<VmId>(name),
      });
      void candidate.run();
    });
    return loop;
  }

  async #submitJobs(
    first: number,
    count: number,
    steps: readonly StepShape[],
    queue = QUEUE.id,
  ): Promise<void> {
    for (let number = first; number < first + count; number += 1) {
      const job = {...createStoredJob(number, steps), acceptedAt: this.vms.clock.wall(), queue};
      await submitJob(this.#store, job);
      if (number >= FORMER_JOBS) {
        this.#waitingJobs.add(job.id);
      }
    }
  }
}
