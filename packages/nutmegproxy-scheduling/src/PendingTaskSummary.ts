/** Counts tasks that have waited for long by their reasons, and names a few of them for the log. */

import type {EventFields, Instant, JobId} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {PendingCause, PendingReason, PendingTask, StartLimit} from './PendingTaskReason.ts';

/** Maximum number of jobs that a line names beside the longest wait of each reason. */
const MAX_OTHER_NAMES = 16;

/** Names of the event fields with the number of tasks of each reason. */
const FIELD_NAMES: Readonly<Record<PendingReason, string>> = {
  advice: 'pendingAdvice',
  availability: 'pendingAvailability',
  avoidance: 'pendingAvoidance',
  deadly: 'pendingDeadly',
  directory: 'pendingDirectory',
  gang: 'pendingGang',
  'last-attempt': 'pendingLastAttempt',
  lease: 'pendingLease',
  placement: 'pendingPlacement',
  recovery: 'pendingRecovery',
  room: 'pendingRoom',
  sharing: 'pendingSharing',
  start: 'pendingStart',
  'start-limit': 'pendingStartLimit',
  stop: 'pendingStop',
  suspicion: 'pendingSuspicion',
  trust: 'pendingTrust',
  'unknown-result': 'pendingUnknownResult',
};

/** The same of each limit of the starts; together they are `pendingStartLimit`. */
const LIMIT_FIELD_NAMES: Readonly<Record<StartLimit, string>> = {
  allowance: 'startLimitAllowance',
  backlog: 'startLimitBacklog',
  time: 'startLimitTime',
};

/** A task that waits, and how many others of its step wait for the same reason. */
export interface PendingWait extends PendingTask {
  readonly cause: PendingCause;
  readonly others: number;
  /** Time in milliseconds for which this owner has known that it does not run. */
  readonly waitedMs: number;
}

/** Returns `TASK/REASON/WAITED_MS`, with `/until=MS`, `/on=MINION` and `/by=LIMIT` where they are known. */
function nameWait({cause, index, step, waitedMs}: PendingWait): string {
  const {limit, minion, reason, untilMs = Infinity} = cause;
  const task = formatTaskName({
    index,
    job: step.job.id,
    occurrence: step.occurrence,
    step: step.number,
  });
  const until = untilMs < Infinity ? `/until=${Math.round(untilMs)}` : '';
  const on = minion === undefined ? '' : `/on=${minion}`;
  const by = limit === undefined ? '' : `/by=${limit}`;
  return `${task}/${reason}/${Math.round(waitedMs)}${until}${on}${by}`;
}

/**
 * @example
 * const summary = new PendingTaskSummary();
 * summary.add({cause: {reason: 'room'}, index: 0, others: 3, step, waitedMs: 4_000});
 * summary.describe(); // {pending: 4, pendingRoom: 4, longestPendingMs: 4_000, ...}
 */
export class PendingTaskSummary {
  readonly #counts = new Map<PendingReason, number>();
  readonly #limits = new Map<StartLimit, number>();
  readonly #longest = new Map<PendingReason, PendingWait>();
  readonly #longestOfJobs = new Map<JobId, PendingWait>();
  #unexamined = 0;

  get isEmpty(): boolean {
    return this.#counts.size === 0 && this.#unexamined === 0;
  }

  add(wait: PendingWait): void {
    const {limit, reason} = wait.cause;
    const {id} = wait.step.job;
    const count = 1 + wait.others;
    this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + count);
    if (limit !== undefined) {
      this.#limits.set(limit, (this.#limits.get(limit) ?? 0) + count);
    }
    if (wait.waitedMs > (this.#longest.get(reason)?.waitedMs ?? -Infinity)) {
      this.#longest.set(reason, wait);
    }
    if (wait.waitedMs > (this.#longestOfJobs.get(id)?.waitedMs ?? -Infinity)) {
      this.#longestOfJobs.set(id, wait);
    }
  }

  /** Counts tasks whose reason is not looked for in this review. */
  addUnexamined(count: number): void {
    this.#unexamined += count;
  }

  /** Returns the counts as event fields. */
  describe(): EventFields {
    const reasons = Object.entries(FIELD_NAMES) as [PendingReason, string][];
    const counts = reasons.map(([reason, name]) => [name, this.#counts.get(reason) ?? 0] as const);
    const names = Object.entries(LIMIT_FIELD_NAMES) as [StartLimit, string][];
    const limits = names.map(([limit, name]) => [name, this.#limits.get(limit) ?? 0] as const);
    const waits = [...this.#longest.values()].map(({waitedMs}) => waitedMs);
    return {
      ...Object.fromEntries([...counts, ...limits]),
      longestPendingMs: Math.round(Math.max(0, ...waits)),
      pending: counts.reduce((sum, [, count]) => sum + count, this.#unexamined),
      pendingUnexamined: this.#unexamined,
    };
  }

  /** Returns the step whose task has waited the longest for one of the reasons. */
  findLongest(reasons: readonly PendingReason[]): StepState | undefined {
    const waits = reasons.flatMap((reason) => this.#longest.get(reason) ?? []);
    return waits.sort((a, b) => b.waitedMs - a.waitedMs)[0]?.step;
  }

  /**
   * Returns the longest wait of each reason, and of some other jobs that were not named since `since`:
   * those first that were named the longest ago or not at all.
   */
  selectNamed(namedAt: ReadonlyMap<JobId, Instant>, since: Instant): readonly PendingWait[] {
    const findNamedAt = ({step}: PendingWait): number => namedAt.get(step.job.id) ?? -Infinity;
    const longest = [...this.#longest.values()];
    const jobs = new Set(longest.map(({step}) => step.job.id));
    const others = [...this.#longestOfJobs.values()]
      .filter((wait) => !jobs.has(wait.step.job.id) && findNamedAt(wait) <= since)
      .sort((a, b) => compareTimes(findNamedAt(a), findNamedAt(b)) || b.waitedMs - a.waitedMs);
    return [...longest, ...others.slice(0, MAX_OTHER_NAMES)];
  }
}

/** Orders times of which both may be -Infinity. */
function compareTimes(a: number, b: number): number {
  return a === b ? 0 : a - b;
}

/** Returns the names of waits, which begin with the ids of their jobs. */
export function nameWaits(waits: readonly PendingWait[]): string {
  return waits.map(nameWait).join(' ');
}
