/** Workers in memory, which check that no task runs twice and none holds more than it has. */

import type {ManualClock} from '@nutmegproxy/core';
import type {AttemptReport, TaskStart, WorkerReport, WorkerSync} from '@nutmegproxy/schema';
import type {PlatformFailure, StartOutcome, WorkerClient} from '@nutmegproxy/workers';
import type {ResultAsync} from 'neverthrow';

import {errAsync, okAsync} from 'neverthrow';

/** `lost-answer`: carried out, answered as unknown. `lost`: answered as unknown only. */
export type WorkerFault = 'lost' | 'lost-answer' | 'refuse';

interface Attempt {
  leaseEnds: number;
  report: AttemptReport;
}

const CAPACITY_CPU = 16;

export class FakeWorkers implements WorkerClient {
  /** Tasks that were seen to run in two places, or workers seen over their capacity. */
  readonly breaches: string[] = [];
  /** Faults of the next starts. */
  startFaults: WorkerFault[] = [];
  readonly starts: TaskStart[] = [];
  /** Addresses that do not answer. */
  readonly unreachable = new Set<string>();
  /** Called when a sync arrives. */
  onSync: (address: string, sync: WorkerSync) => void = () => undefined;
  readonly #clock: ManualClock;
  readonly #workers = new Map<string, Map<string, Attempt>>();

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Ends a running attempt of the task. */
  finish(task: string, state: 'failed' | 'succeeded'): void {
    for (const {report} of this.#all()) {
      if (report.task === task && report.state === 'running') {
        report.state = state;
      }
    }
  }

  /** Attempts that run now, by worker. */
  running(): string[] {
    this.#lapse();
    return this.#all().flatMap(({report}) => (report.state === 'running' ? [report.attempt] : []));
  }

  start(
    address: string,
    starts: readonly TaskStart[],
  ): ResultAsync<readonly StartOutcome[], PlatformFailure> {
    const fault = this.startFaults.shift();
    if (fault === 'refuse') {
      return okAsync(starts.map(({attempt}) => ({attempt, reason: 'no', started: false})));
    }
    if (fault === 'lost' || this.unreachable.has(address)) {
      return errAsync({kind: 'unknown', message: 'lost'});
    }
    const answers = starts.map((each) => this.#start(address, each));
    return fault === 'lost-answer'
      ? errAsync({kind: 'unknown', message: 'lost answer'})
      : okAsync(answers);
  }

  sync(address: string, sync: WorkerSync): ResultAsync<WorkerReport, PlatformFailure> {
    this.onSync(address, sync);
    if (this.unreachable.has(address)) {
      return errAsync({kind: 'unknown', message: 'unreachable'});
    }
    this.#lapse();
    const attempts = this.#worker(address);
    sync.acknowledge?.forEach((each) => attempts.delete(each));
    sync.renew?.forEach((each) => {
      const attempt = attempts.get(each);
      if (attempt?.report.state === 'running') {
        attempt.leaseEnds = this.#clock.monotonic() + (sync.leaseMs ?? 0);
      }
    });
    sync.checkpoint?.forEach((each) => {
      this.#end(attempts.get(each), 'checkpointed', `checkpoint of ${each}`);
    });
    sync.stop?.forEach((each) => {
      this.#end(attempts.get(each), 'stopped');
    });
    const reports = [...attempts.values()].map(({report}) => ({...report}));
    return okAsync({attempts: reports, worker: address});
  }

  #all(): Attempt[] {
    return [...this.#workers.values()].flatMap((attempts) => [...attempts.values()]);
  }

  #check(address: string): void {
    const running = this.#all().filter(({report}) => report.state === 'running');
    const tasks = running.map(({report}) => report.task);
    const doubled = tasks.filter((task, index) => tasks.indexOf(task) !== index);
    this.breaches.push(...doubled.map((task) => `${task} runs twice`));
    const here = [...this.#worker(address).values()].filter(
      ({report}) => report.state === 'running',
    );
    const cpu = here.reduce((sum, {report}) => sum + (report.reserved?.cpu ?? 0), 0);
    if (cpu > CAPACITY_CPU) {
      this.breaches.push(`${address} holds ${cpu}`);
    }
  }

  #end(attempt: Attempt | undefined, state: AttemptReport['state'], checkpoint?: string): void {
    if (attempt?.report.state === 'running') {
      attempt.report.state = state;
      if (checkpoint !== undefined) {
        attempt.report.checkpoint = checkpoint;
      }
    }
  }

  #lapse(): void {
    for (const attempt of this.#all()) {
      if (attempt.leaseEnds < this.#clock.monotonic()) {
        this.#end(attempt, 'lapsed');
      }
    }
  }

  #start(address: string, start: TaskStart): StartOutcome {
    this.#lapse();
    this.starts.push(start);
    const {attempt, reserved, task} = start;
    if (start.startBefore < this.#clock.wall()) {
      return {attempt, reason: 'too late', started: false};
    }
    const worker = this.#worker(address);
    if (!worker.has(attempt)) {
      worker.set(attempt, {
        leaseEnds: this.#clock.monotonic() + start.leaseMs,
        report: {attempt, reserved, state: 'running', task},
      });
    }
    this.#check(address);
    return {attempt, started: true};
  }

  #worker(address: string): Map<string, Attempt> {
    const worker = this.#workers.get(address) ?? new Map<string, Attempt>();
    this.#workers.set(address, worker);
    return worker;
  }
}
