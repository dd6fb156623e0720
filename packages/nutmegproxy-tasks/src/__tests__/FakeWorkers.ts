/** In-memory workers that check that no task runs twice and that no worker exceeds its capacity. */

import type {ManualClock} from '@nutmegproxy/core';
import type {AttemptReport, TaskStart, WorkerReport, WorkerSync} from '@nutmegproxy/schema';
import type {PlatformFailure, StartAnswer, WorkerClient} from '@nutmegproxy/workers';
import type {ResultAsync} from 'neverthrow';

import {errAsync, okAsync} from 'neverthrow';

/** `lost-answer`: executed, but returns `unknown`. `lost`: not executed, and returns `unknown`. */
export type WorkerFault = 'lost' | 'lost-answer' | 'refuse';

interface Attempt {
  leaseEnds: number;
  report: AttemptReport;
}

const CAPACITY_CPU = 16;

export class FakeWorkers implements WorkerClient {
  /** Tasks found running in two places and workers found over their capacity. */
  readonly violations: string[] = [];
  /** Faults of the next starts. */
  startFaults: WorkerFault[] = [];
  readonly starts: TaskStart[] = [];
  /** Addresses that do not respond. */
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

  /** Running attempts, by worker. */
  running(): string[] {
    this.#expireLeases();
    return this.#all().flatMap(({report}) => (report.state === 'running' ? [report.attempt] : []));
  }

  start(
    address: string,
    starts: readonly TaskStart[],
  ): ResultAsync<readonly StartAnswer[], PlatformFailure> {
    const fault = this.startFaults.shift();
    if (fault === 'refuse') {
      return okAsync(starts.map(({attempt}) => ({attempt, reason: 'no', started: false})));
    }
    if (fault === 'lost' || this.unreachable.has(address)) {
      return errAsync({kind: 'unknown', message: 'lost'});
    }
    const responses = starts.map((each) => this.#startAttempt(address, each));
    return fault === 'lost-answer'
      ? errAsync({kind: 'unknown', message: 'lost answer'})
      : okAsync(responses);
  }

  sync(address: string, sync: WorkerSync): ResultAsync<WorkerReport, PlatformFailure> {
    this.onSync(address, sync);
    if (this.unreachable.has(address)) {
      return errAsync({kind: 'unknown', message: 'unreachable'});
    }
    this.#expireLeases();
    const attempts = this.#getAttempts(address);
    sync.acknowledge?.forEach((each) => attempts.delete(each));
    sync.renew?.forEach((each) => {
      const attempt = attempts.get(each);
      if (attempt?.report.state === 'running') {
        attempt.leaseEnds = this.#clock.monotonic() + (sync.leaseMs ?? 0);
      }
    });
    sync.checkpoint?.forEach((each) => {
      this.#endAttempt(attempts.get(each), 'checkpointed', `checkpoint of ${each}`);
    });
    sync.stop?.forEach((each) => {
      this.#endAttempt(attempts.get(each), 'stopped');
    });
    const reports = [...attempts.values()].map(({report}) => ({...report}));
    return okAsync({attempts: reports, worker: address});
  }

  #all(): Attempt[] {
    return [...this.#workers.values()].flatMap((attempts) => [...attempts.values()]);
  }

  #checkInvariants(address: string): void {
    const running = this.#all().filter(({report}) => report.state === 'running');
    const tasks = running.map(({report}) => report.task);
    const duplicates = tasks.filter((task, index) => tasks.indexOf(task) !== index);
    this.violations.push(...duplicates.map((task) => `${task} runs twice`));
    const here = [...this.#getAttempts(address).values()].filter(
      ({report}) => report.state === 'running',
    );
    const cpu = here.reduce((sum, {report}) => sum + (report.reserved?.cpu ?? 0), 0);
    if (cpu > CAPACITY_CPU) {
      this.violations.push(`${address} holds ${cpu}`);
    }
  }

  #endAttempt(
    attempt: Attempt | undefined,
    state: AttemptReport['state'],
    checkpoint?: string,
  ): void {
    if (attempt?.report.state === 'running') {
      attempt.report.state = state;
      if (checkpoint !== undefined) {
        attempt.report.checkpoint = checkpoint;
      }
    }
  }

  #expireLeases(): void {
    for (const attempt of this.#all()) {
      if (attempt.leaseEnds < this.#clock.monotonic()) {
        this.#endAttempt(attempt, 'lapsed');
      }
    }
  }

  #startAttempt(address: string, start: TaskStart): StartAnswer {
    this.#expireLeases();
    this.starts.push(start);
    const {attempt, reserved, task} = start;
    if (start.startBefore < this.#clock.wall()) {
      return {attempt, reason: 'too late', started: false};
    }
    const worker = this.#getAttempts(address);
    if (!worker.has(attempt)) {
      worker.set(attempt, {
        leaseEnds: this.#clock.monotonic() + start.leaseMs,
        report: {attempt, reserved, state: 'running', task},
      });
    }
    this.#checkInvariants(address);
    return {attempt, started: true};
  }

  #getAttempts(address: string): Map<string, Attempt> {
    const worker = this.#workers.get(address) ?? new Map<string, Attempt>();
    this.#workers.set(address, worker);
    return worker;
  }
}
