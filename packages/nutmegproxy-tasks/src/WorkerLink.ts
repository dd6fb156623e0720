/** One worker of an owned cell: its starts, and one loop that renews, steers and acknowledges. */

import type {AttemptId, Instant, WallTime, WorkerId} from '@nutmegproxy/core';
import type {
  AttemptReport,
  TaskStart,
  Throttle,
  WorkerReport,
  WorkerSync,
} from '@nutmegproxy/schema';
import type {StartOutcome, WorkerClient} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';

import type {Cell} from './Cell.ts';
import type {Task} from './TaskModel.ts';
import type {AttemptVerdict} from './WorkerReports.ts';

import {wait} from './AsyncUtils.ts';
import {isLive} from './TaskModel.ts';
import {MAX_VERDICTS_PER_DELTA} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';
import {judgeRefusal, judgeReport, judgeSilence} from './WorkerReports.ts';

/** Durations of the exchange with workers, in milliseconds. */
export interface WorkerTimings {
  readonly leaseMs: number;
  readonly syncMs: number;
}

/** The exchange with one worker; it ends when the cell stops. */
export class WorkerLink {
  /** Empty while the list of VMs does not name the worker. */
  address: string;
  readonly id: WorkerId;
  /** Ended attempts whose end is in the store, until the worker has taken them. */
  readonly #acknowledge = new Set<string>();
  readonly #cell: Cell;
  readonly #client: WorkerClient;
  #closed = false;
  /** Attempts whose end is being committed. */
  readonly #ending = new Set<string>();
  /** Last instant at which an attempt's lease was certainly renewed. */
  readonly #leaseBases = new Map<string, Instant>();
  readonly #live = new Map<string, Task>();
  #reachable = false;
  /** Attempts that the worker has said to be running. */
  #running = new Set<string>();
  /** Unknown running attempts, which are stopped. */
  #strays: readonly string[] = [];
  /** Attempts that the worker runs at a share of their processors. */
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
  get live(): ReadonlyMap<string, Task> {
    return this.#live;
  }

  /** Whether the worker answered when it was asked last. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** Adds a task that holds a reservation here. */
  add(task: Task): void {
    if (task.attempt !== undefined) {
      this.#live.set(task.attempt, task);
    }
  }

  close(): void {
    this.#closed = true;
  }

  /** Syncs until the link closes or the cell stops. */
  async run(): Promise<void> {
    while (!this.#closed && !this.#cell.stopped) {
      if (this.#cell.mayAct(this.#cell.node.clock.monotonic())) {
        await this.#exchange();
      }
      await wait(this.#timings.syncMs);
    }
  }

  setThrottles(throttles: readonly Throttle[]): void {
    this.#throttles = throttles;
  }

  /** Sends starts whose intents are committed, and takes in the answers. */
  async start(starts: readonly TaskStart[]): Promise<void> {
    const {clock, events} = this.#cell.node;
    if (!this.#cell.mayAct(clock.monotonic())) {
      // The intents stand in the log; the next owner learns from the worker that none arrived.
      return;
    }
    const wall = clock.wall();
    const wanted = starts.filter((start) => this.#isWanted(start, wall));
    const dropped = starts.filter((start) => !this.#isWanted(start, wall));
    this.#refuse(dropped.map(({attempt}) => ({attempt, reason: 'not sent'})));
    if (wanted.length === 0) {
      return;
    }
    for (const {attempt} of wanted) {
      events.record(TASKS_EVENTS.TASK_STARTED, {attempt, worker: this.id});
    }
    const result = await this.#client.start(this.address, wanted);
    if (!this.#cell.mayAct(clock.monotonic())) {
      return;
    }
    if (result.isOk()) {
      this.#takeStartAnswers(result.value);
    } else if (result.error.kind === 'refused') {
      const reason = result.error.message;
      this.#refuse(wanted.map(({attempt}) => ({attempt, reason})));
    }
  }

  /** One question to the worker and what follows from its answer, or from its silence. */
  async #exchange(): Promise<void> {
    const {clock, events} = this.#cell.node;
    const asked = {now: clock.monotonic(), wall: clock.wall()};
    if (this.address === '') {
      this.#judgeSilent([...this.#live.values()], asked);
      return;
    }
    const sync = this.#composeSync();
    const result = await this.#client.sync(this.address, sync);
    const now = clock.monotonic();
    if (!this.#cell.mayAct(now)) {
      return;
    }
    const reached = result.isOk();
    if (reached !== this.#reachable) {
      const kind = reached ? TASKS_EVENTS.WORKER_REACHED : TASKS_EVENTS.WORKER_UNREACHED;
      events.record(kind, {cell: this.#cell.id, worker: this.id});
    }
    this.#reachable = reached;
    if (result.isOk()) {
      this.#noteAnswer(sync, now);
      this.#takeReport(result.value, now, asked);
    } else {
      this.#judgeSilent([...this.#live.values()], asked);
    }
  }

  #composeSync(): WorkerSync {
    const sync = {
      acknowledge: [...this.#acknowledge],
      checkpoint: [] as string[],
      leaseMs: this.#timings.leaseMs,
      renew: [] as string[],
      stop: [...this.#strays],
      throttle: this.#composeThrottles(),
    };
    for (const [attempt, task] of this.#live) {
      // While answers are missing, leases are left to lapse: each unanswered renewal may yet arrive.
      if (this.#reachable && this.#running.has(attempt)) {
        sync.renew.push(attempt);
      }
      this.#steer(task, attempt, sync);
    }
    return sync;
  }

  #composeThrottles(): Throttle[] {
    const wanted = new Set(this.#throttles.map(({attempt}) => attempt));
    const lifted = [...this.#throttled].filter((attempt) => !wanted.has(attempt));
    return [...this.#throttles, ...lifted.map((attempt) => ({attempt, share: 1}))];
  }

  /** Commits verdicts in deltas of bounded size. */
  async #conclude(verdicts: readonly AttemptVerdict[]): Promise<void> {
    const groups: Promise<void>[] = [];
    for (let start = 0; start < verdicts.length; start += MAX_VERDICTS_PER_DELTA) {
      groups.push(this.#concludeGroup(verdicts.slice(start, start + MAX_VERDICTS_PER_DELTA)));
    }
    await Promise.all(groups);
  }

  /** Commits verdicts, then ends the reservations that they end. */
  async #concludeGroup(verdicts: readonly AttemptVerdict[]): Promise<void> {
    verdicts.forEach(({attempt}) => this.#ending.add(attempt));
    const committed = await this.#cell.commit(verdicts.map(({change}) => change));
    verdicts.forEach(({attempt}) => this.#ending.delete(attempt));
    if (!committed || this.#cell.stopped) {
      return;
    }
    const now = this.#cell.node.clock.monotonic();
    for (const {attempt, outcome} of verdicts) {
      if (outcome !== undefined) {
        this.#forget(attempt);
        this.#cell.placement.release(attempt as AttemptId, outcome, now);
      }
    }
  }

  #forget(attempt: string): void {
    this.#leaseBases.delete(attempt);
    this.#acknowledge.add(attempt);
    this.#live.delete(attempt);
  }

  /** Whether a start is still to be sent: it is timely, and nobody cancelled or evicted it. */
  #isWanted(start: TaskStart, wall: WallTime): boolean {
    const task = this.#live.get(start.attempt);
    return start.startBefore > wall && task?.state === 'starting' && !task.job.cancelled;
  }

  #judge(task: Task, report: AttemptReport): AttemptVerdict[] {
    if (report.state === 'running') {
      this.#running.add(report.attempt);
    }
    if (this.#ending.has(report.attempt)) {
      return [];
    }
    const entry = this.#cell.entry(task.job.entry);
    const verdict = judgeReport(task, report, entry, this.#cell.node.clock.wall());
    return verdict ? [verdict] : [];
  }

  #judgeSilent(tasks: readonly Task[], times: {now: Instant; wall: WallTime}): void {
    const verdicts = tasks.flatMap((task) => {
      const attempt = task.attempt ?? '';
      if (this.#ending.has(attempt) || !isLive(task)) {
        return [];
      }
      const base = this.#leaseBases.get(attempt) ?? this.#cell.acquiredAt;
      const verdict = judgeSilence(task, base, this.#timings.leaseMs, times);
      return verdict ? [verdict] : [];
    });
    for (const {attempt} of verdicts) {
      this.#cell.node.events.record(TASKS_EVENTS.ATTEMPT_LOST, {attempt, worker: this.id});
    }
    void this.#conclude(verdicts);
  }

  #noteAnswer(sync: WorkerSync, now: Instant): void {
    sync.acknowledge?.forEach((attempt) => this.#acknowledge.delete(attempt));
    this.#throttled = new Set(
      sync.throttle?.flatMap(({attempt, share}) => (share < 1 ? [attempt] : [])),
    );
    sync.renew?.forEach((attempt) => this.#leaseBases.set(attempt, now));
  }

  #observe(report: AttemptReport, now: Instant, wall: WallTime): void {
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

  #refuse(refusals: readonly {attempt: string; reason?: string}[]): void {
    const wall = this.#cell.node.clock.wall();
    const verdicts = refusals.flatMap(({attempt, reason}) => {
      const task = this.#live.get(attempt);
      if (!task || this.#ending.has(attempt)) {
        return [];
      }
      const fields = {attempt, reason, worker: this.id};
      this.#cell.node.events.record(TASKS_EVENTS.ATTEMPT_REFUSED, fields);
      return [judgeRefusal(task, wall)];
    });
    void this.#conclude(verdicts);
  }

  #steer(task: Task, attempt: string, sync: {checkpoint: string[]; stop: string[]}): void {
    if (task.job.cancelled) {
      sync.stop.push(attempt);
    } else if (task.state === 'evicting') {
      const checkpointable = this.#cell.entry(task.job.entry)?.checkpoint === true;
      (checkpointable ? sync.checkpoint : sync.stop).push(attempt);
    }
  }

  #takeReport(report: WorkerReport, now: Instant, asked: {now: Instant; wall: WallTime}): void {
    const {clock} = this.#cell.node;
    const reported = new Set<string>();
    const verdicts: AttemptVerdict[] = [];
    this.#running = new Set();
    this.#strays = [];
    for (const each of report.attempts) {
      reported.add(each.attempt);
      const task = this.#live.get(each.attempt);
      if (task) {
        this.#observe(each, now, clock.wall());
        verdicts.push(...this.#judge(task, each));
      } else {
        this.#takeUnknown(each);
      }
    }
    void this.#conclude(verdicts);
    const missing = [...this.#live].filter(([attempt]) => !reported.has(attempt));
    this.#judgeSilent(
      missing.map(([, task]) => task),
      asked,
    );
  }

  #takeStartAnswers(answers: readonly StartOutcome[]): void {
    const now = this.#cell.node.clock.monotonic();
    const started = answers.filter((each) => each.started);
    const verdicts = started.flatMap(({attempt}) => {
      this.#leaseBases.set(attempt, now);
      const task = this.#live.get(attempt);
      return task ? this.#judge(task, {attempt, state: 'running', task: ''}) : [];
    });
    void this.#conclude(verdicts);
    this.#refuse(answers.filter((each) => !each.started));
  }

  #takeUnknown(report: AttemptReport): void {
    if (report.state === 'running') {
      this.#strays = [...this.#strays, report.attempt];
    } else {
      this.#acknowledge.add(report.attempt);
    }
  }
}
