/**
 * Communication with one worker of an owned cell: start requests, and a sync loop that renews
 * leases, requests stops and checkpoints, and acknowledges results.
 */

import type {AttemptId, Instant, WallTime, WorkerId} from '@nutmegproxy/core';
import type {
  AttemptReport,
  TaskStart,
  Throttle,
  WorkerReport,
  WorkerSync,
} from '@nutmegproxy/schema';
import type {StartAnswer, WorkerClient} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';

import type {Cell} from './Cell.ts';
import type {Task} from './TaskModel.ts';
import type {AttemptTransition} from './WorkerReports.ts';

import {sleep} from './AsyncUtils.ts';
import {isLive} from './TaskModel.ts';
import {MAX_TRANSITIONS_PER_DELTA} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';
import {evaluateMissingReport, evaluateRefusal, evaluateReport} from './WorkerReports.ts';

/** Durations of the communication with workers, in milliseconds. */
export interface WorkerTimings {
  readonly leaseMs: number;
  readonly syncMs: number;
}

/** Connection of a cell to one worker; it ends when the cell stops. */
export class WorkerLink {
  /** Empty while the list of VMs does not contain the worker. */
  address: string;
  readonly id: WorkerId;
  /** Attempts whose result is stored but not yet acknowledged to the worker. */
  readonly #unacknowledged = new Set<string>();
  readonly #cell: Cell;
  readonly #client: WorkerClient;
  #isClosed = false;
  /** Attempts with a transition that is being committed. */
  readonly #completing = new Set<string>();
  /** Last instant at which an attempt's lease was certainly renewed. */
  readonly #leaseRenewals = new Map<string, Instant>();
  readonly #live = new Map<string, Task>();
  #isWorkerReachable = false;
  /** Attempts that the worker reported as running. */
  #reportedRunning = new Set<string>();
  /** Running attempts that the cell does not know; they are stopped. */
  #orphans: readonly string[] = [];
  /** Attempts that the worker limits to a share of their processors. */
  #throttled: ReadonlySet<string> = new Set();
  #throttles: readonly Throttle[] = [];
  readonly #timings: WorkerTimings;

  constructor(
    cell: Cell,
    client: WorkerClient,
    worker: {readonly address: string; readonly id: WorkerId},
    timings: WorkerTimings,
  ) {
    this.#cell = cell;
    this.#client = client;
    this.address = worker.address;
    this.id = worker.id;
    this.#timings = timings;
  }

  /** Tasks that hold a reservation on this worker. */
  get liveTasks(): ReadonlyMap<string, Task> {
    return this.#live;
  }

  /** Whether the worker responded to the last sync. */
  get isReachable(): boolean {
    return this.#isWorkerReachable;
  }

  /** Adds a task that holds a reservation on this worker. */
  add(task: Task): void {
    if (task.attempt !== undefined) {
      this.#live.set(task.attempt, task);
    }
  }

  close(): void {
    this.#isClosed = true;
  }

  /** Syncs until the link closes or the cell stops. */
  async run(): Promise<void> {
    while (!this.#isClosed && !this.#cell.isStopped) {
      if (this.#cell.mayAct(this.#cell.node.clock.monotonic())) {
        await this.#exchangeSync();
      }
      await sleep(this.#timings.syncMs);
    }
  }

  setThrottles(throttles: readonly Throttle[]): void {
    this.#throttles = throttles;
  }

  /** Sends starts whose intents are committed, and handles the worker's response. */
  async start(starts: readonly TaskStart[]): Promise<void> {
    const {clock, events} = this.#cell.node;
    if (!this.#cell.mayAct(clock.monotonic())) {
      // The intents are in the log; the next owner discovers from the worker that none arrived.
      return;
    }
    const wall = clock.wall();
    const sendable = starts.filter((start) => this.#shouldSend(start, wall));
    const dropped = starts.filter((start) => !this.#shouldSend(start, wall));
    this.#handleRefusals(dropped.map(({attempt}) => ({attempt, reason: 'not sent'})));
    if (sendable.length === 0) {
      return;
    }
    for (const {attempt} of sendable) {
      events.record(TASKS_EVENTS.TASK_STARTED, {attempt, worker: this.id});
    }
    const result = await this.#client.start(this.address, sendable);
    if (!this.#cell.mayAct(clock.monotonic())) {
      return;
    }
    if (result.isOk()) {
      this.#handleStartResponses(result.value);
    } else if (result.error.kind === 'refused') {
      const reason = result.error.message;
      this.#handleRefusals(sendable.map(({attempt}) => ({attempt, reason})));
    }
  }

  /** Sends one sync to the worker and handles its report or the lack of one. */
  async #exchangeSync(): Promise<void> {
    const {clock, events} = this.#cell.node;
    const sentTimes = {now: clock.monotonic(), wall: clock.wall()};
    if (this.address === '') {
      this.#evaluateUnreported([...this.#live.values()], sentTimes);
      return;
    }
    const sync = this.#composeSync();
    const result = await this.#client.sync(this.address, sync);
    const now = clock.monotonic();
    if (!this.#cell.mayAct(now)) {
      return;
    }
    const isReachable = result.isOk();
    if (isReachable !== this.#isWorkerReachable) {
      const kind = isReachable ? TASKS_EVENTS.WORKER_REACHED : TASKS_EVENTS.WORKER_UNREACHED;
      events.record(kind, {cell: this.#cell.id, worker: this.id});
    }
    this.#isWorkerReachable = isReachable;
    if (result.isOk()) {
      this.#recordSynced(sync, now);
      this.#handleReport(result.value, now, sentTimes);
    } else {
      this.#evaluateUnreported([...this.#live.values()], sentTimes);
    }
  }

  #composeSync(): WorkerSync {
    const sync = {
      acknowledge: [...this.#unacknowledged],
      checkpoint: [] as string[],
      leaseMs: this.#timings.leaseMs,
      renew: [] as string[],
      stop: [...this.#orphans],
      throttle: this.#composeThrottles(),
    };
    for (const [attempt, task] of this.#live) {
      // Leases are left to expire while responses are missing, because each unanswered renewal may
      // still arrive.
      if (this.#isWorkerReachable && this.#reportedRunning.has(attempt)) {
        sync.renew.push(attempt);
      }
      this.#addStopOrCheckpoint(task, attempt, sync);
    }
    return sync;
  }

  #composeThrottles(): Throttle[] {
    const wanted = new Set(this.#throttles.map(({attempt}) => attempt));
    const lifted = [...this.#throttled].filter((attempt) => !wanted.has(attempt));
    return [...this.#throttles, ...lifted.map((attempt) => ({attempt, share: 1}))];
  }

  /** Commits transitions in deltas of bounded size. */
  async #commitTransitions(transitions: readonly AttemptTransition[]): Promise<void> {
    const groups: Promise<void>[] = [];
    for (let start = 0; start < transitions.length; start += MAX_TRANSITIONS_PER_DELTA) {
      groups.push(
        this.#commitTransitionGroup(transitions.slice(start, start + MAX_TRANSITIONS_PER_DELTA)),
      );
    }
    await Promise.all(groups);
  }

  /** Commits transitions, then releases the reservations of those with an outcome. */
  async #commitTransitionGroup(transitions: readonly AttemptTransition[]): Promise<void> {
    transitions.forEach(({attempt}) => this.#completing.add(attempt));
    const committed = await this.#cell.commit(transitions.map(({change}) => change));
    transitions.forEach(({attempt}) => this.#completing.delete(attempt));
    if (!committed || this.#cell.isStopped) {
      return;
    }
    const now = this.#cell.node.clock.monotonic();
    for (const {attempt, outcome} of transitions) {
      if (outcome !== undefined) {
        this.#removeAttempt(attempt);
        this.#cell.placement.release(attempt as AttemptId, outcome, now);
      }
    }
  }

  #removeAttempt(attempt: string): void {
    this.#leaseRenewals.delete(attempt);
    this.#unacknowledged.add(attempt);
    this.#live.delete(attempt);
  }

  /** Whether a start is still valid: not expired, cancelled or evicted. */
  #shouldSend(start: TaskStart, wall: WallTime): boolean {
    const task = this.#live.get(start.attempt);
    return start.startBefore > wall && task?.state === 'starting' && !task.job.cancelled;
  }

  #evaluateReport(task: Task, report: AttemptReport): AttemptTransition[] {
    if (report.state === 'running') {
      this.#reportedRunning.add(report.attempt);
    }
    if (this.#completing.has(report.attempt)) {
      return [];
    }
    const entry = this.#cell.entry(task.job.entry);
    const transition = evaluateReport(task, report, entry, this.#cell.node.clock.wall());
    return transition ? [transition] : [];
  }

  #evaluateUnreported(tasks: readonly Task[], times: {now: Instant; wall: WallTime}): void {
    const transitions = tasks.flatMap((task) => {
      const attempt = task.attempt ?? '';
      if (this.#completing.has(attempt) || !isLive(task)) {
        return [];
      }
      const lastRenewedAt = this.#leaseRenewals.get(attempt) ?? this.#cell.acquiredAt;
      const transition = evaluateMissingReport(task, lastRenewedAt, this.#timings.leaseMs, times);
      return transition ? [transition] : [];
    });
    for (const {attempt} of transitions) {
      this.#cell.node.events.record(TASKS_EVENTS.ATTEMPT_LOST, {attempt, worker: this.id});
    }
    void this.#commitTransitions(transitions);
  }

  #recordSynced(sync: WorkerSync, now: Instant): void {
    sync.acknowledge?.forEach((attempt) => this.#unacknowledged.delete(attempt));
    this.#throttled = new Set(
      sync.throttle?.flatMap(({attempt, share}) => (share < 1 ? [attempt] : [])),
    );
    sync.renew?.forEach((attempt) => this.#leaseRenewals.set(attempt, now));
  }

  #observeUsage(report: AttemptReport, now: Instant, wall: WallTime): void {
    if (report.usage) {
      const lagMs = Math.max(0, wall - report.usage.at);
      this.#cell.placement.observe(
        {
          attempt: report.attempt as AttemptId,
          measuredAt: after(now, -lagMs),
          progress: report.progress ?? 0,
          usage: report.usage,
        },
        now,
      );
    }
  }

  #handleRefusals(refusals: readonly {attempt: string; reason?: string}[]): void {
    const wall = this.#cell.node.clock.wall();
    const transitions = refusals.flatMap(({attempt, reason}) => {
      const task = this.#live.get(attempt);
      if (!task || this.#completing.has(attempt)) {
        return [];
      }
      const fields = {attempt, reason, worker: this.id};
      this.#cell.node.events.record(TASKS_EVENTS.ATTEMPT_REFUSED, fields);
      return [evaluateRefusal(task, wall)];
    });
    void this.#commitTransitions(transitions);
  }

  #addStopOrCheckpoint(
    task: Task,
    attempt: string,
    sync: {checkpoint: string[]; stop: string[]},
  ): void {
    if (task.job.cancelled) {
      sync.stop.push(attempt);
    } else if (task.state === 'evicting') {
      const checkpointable = this.#cell.entry(task.job.entry)?.checkpoint === true;
      (checkpointable ? sync.checkpoint : sync.stop).push(attempt);
    }
  }

  #handleReport(
    report: WorkerReport,
    now: Instant,
    sentTimes: {now: Instant; wall: WallTime},
  ): void {
    const {clock} = this.#cell.node;
    const reported = new Set<string>();
    const transitions: AttemptTransition[] = [];
    this.#reportedRunning = new Set();
    this.#orphans = [];
    for (const each of report.attempts) {
      reported.add(each.attempt);
      const task = this.#live.get(each.attempt);
      if (task) {
        this.#observeUsage(each, now, clock.wall());
        transitions.push(...this.#evaluateReport(task, each));
      } else {
        this.#handleUnknownAttempt(each);
      }
    }
    void this.#commitTransitions(transitions);
    const missing = [...this.#live].filter(([attempt]) => !reported.has(attempt));
    this.#evaluateUnreported(
      missing.map(([, task]) => task),
      sentTimes,
    );
  }

  #handleStartResponses(responses: readonly StartAnswer[]): void {
    const now = this.#cell.node.clock.monotonic();
    const started = responses.filter((each) => each.started);
    const transitions = started.flatMap(({attempt}) => {
      this.#leaseRenewals.set(attempt, now);
      const task = this.#live.get(attempt);
      return task ? this.#evaluateReport(task, {attempt, state: 'running', task: ''}) : [];
    });
    void this.#commitTransitions(transitions);
    this.#handleRefusals(responses.filter((each) => !each.started));
  }

  #handleUnknownAttempt(report: AttemptReport): void {
    if (report.state === 'running') {
      this.#orphans = [...this.#orphans, report.attempt];
    } else {
      this.#unacknowledged.add(report.attempt);
    }
  }
}
