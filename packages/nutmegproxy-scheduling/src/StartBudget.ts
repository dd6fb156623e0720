/**
 * Limits the starts of deferrable work in one round of planning. An owner whose process is full makes
 * fewer of them, so that it has time for urgent work.
 */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, Run, StepState} from '@nutmegproxy/jobs';

import type {WorkOutlook} from './ExpectedWork.ts';
import type {Fleet} from './Fleet.ts';

import {findIdleSince, findSoonIdleSince} from './ExpectedWork.ts';

/** Priority of the queues whose work is never deferred. */
const URGENT_PRIORITY = 0;
/** Share of a limited budget for jobs of which nothing runs, so that no accepted job is withheld. */
const IDLE_SHARE = 1 / 2;
/**
 * Share of a limited budget for these and for the jobs that have waited longest. Otherwise the jobs with
 * the most work, which come last in the usual order, would not start while the owner is full.
 */
const LONGEST_WAITING_SHARE = 2 / 3;

/**
 * Time in milliseconds without work from which a task of the job starts beyond the limit: less than the 3 s for which
 * accepted work may stand still beside free room.
 */
const MAX_IDLE_MS = 2_000;

/** Number of starts that may still be made; Infinity does not limit them. */
export class StartBudget {
  #remaining: number;

  constructor(limit: number) {
    this.#remaining = limit;
  }

  get isUsedUp(): boolean {
    return this.#remaining <= 0;
  }

  get remaining(): number {
    return this.#remaining;
  }

  /** Counts starts; a gang, which is started whole, may exceed the budget. */
  take(starts: number): void {
    this.#remaining -= starts;
  }
}

export interface BudgetedPlacement {
  readonly isDeferrable: (step: StepState) => boolean;
  /** Whether the time for placement is used up; checked before each step. */
  readonly isTimeUp: () => boolean;
  /** Most starts of deferrable steps; Infinity does not limit them. */
  readonly limit: number;
  readonly now: Instant;
  /** What the ends of runs are expected by. */
  readonly outlook: WorkOutlook;
  /** Places the tasks of a step while the budget is not used up. */
  readonly place: (step: StepState, budget: StartBudget) => void;
}

/** Whether the queue of a job gives way to no other. */
export function isUrgent(fleet: Fleet, job: JobState): boolean {
  return fleet.resolveQueuePolicy(job).priority <= URGENT_PRIORITY;
}

/**
 * Whether the starts of a step may be delayed in favour of other queues. Long-running tasks are not:
 * somebody relies on them at all times.
 */
export function isDeferrable(fleet: Fleet, {job, shape}: StepState): boolean {
  return !isUrgent(fleet, job) && !shape.longRunning;
}

/** Returns how many of the runs belong to deferrable steps. */
export function countDeferrable(fleet: Fleet, runs: readonly Run[]): number {
  return runs.reduce((count, {step}) => count + Number(isDeferrable(fleet, step)), 0);
}

/** Returns whether the time was up before all steps were placed. */
function placeAll(
  steps: readonly StepState[],
  budget: StartBudget,
  {isTimeUp, place}: BudgetedPlacement,
): boolean {
  for (const step of steps) {
    if (budget.isUsedUp) {
      return false;
    }
    if (isTimeUp()) {
      return true;
    }
    place(step, budget);
  }
  return false;
}

/** Whether nothing of a step's job has been at work for so long that one of its tasks starts beyond the limit. */
export function isIdleForLong(step: StepState, outlook: WorkOutlook, now: Instant): boolean {
  return now - findIdleSince(step, outlook, now) >= MAX_IDLE_MS;
}

interface IdleStep {
  readonly idleSince: number;
  readonly step: StepState;
}

/** Returns the steps of jobs of which nothing is at work soon, those first of which nothing has been for longest. */
function orderByIdleTime(
  steps: readonly StepState[],
  {now, outlook}: BudgetedPlacement,
): readonly IdleStep[] {
  return steps
    .map((step) => ({idleSince: findSoonIdleSince(step, outlook, now), step}))
    .filter(({idleSince}) => idleSince < Infinity)
    .sort((a, b) => a.idleSince - b.idleSince);
}

/** Limits a placement to one task of each job of which nothing is at work soon. */
function limitToIdleJobs(placement: BudgetedPlacement): BudgetedPlacement {
  const {now, outlook} = placement;
  return {
    ...placement,
    place: (step, budget) => {
      if (findSoonIdleSince(step, outlook, now) < Infinity) {
        const single = new StartBudget(1);
        placement.place(step, single);
        budget.take(1 - single.remaining);
      }
    },
  };
}

/**
 * Places a task of each job of which nothing runs: of all that have been idle for long, and of others while the budget
 * is not used up. Returns whether the time was up before.
 */
function placeIdleJobs(
  deferrable: readonly StepState[],
  budget: StartBudget,
  placement: BudgetedPlacement,
): boolean {
  const ofIdleJobs = limitToIdleJobs(placement);
  const idle = orderByIdleTime(deferrable, placement);
  const overdue = idle.filter(({idleSince}) => placement.now - idleSince >= MAX_IDLE_MS);
  // Not one start for each: the members of a gang would use up those of others.
  const beyond = new StartBudget(Number.MAX_SAFE_INTEGER);
  const wasCut = placeAll(
    overdue.map(({step}) => step),
    beyond,
    ofIdleJobs,
  );
  budget.take(Number.MAX_SAFE_INTEGER - beyond.remaining);
  return (
    wasCut ||
    placeAll(
      idle.map(({step}) => step),
      budget,
      ofIdleJobs,
    )
  );
}

/**
 * Places steps in the given order, and deferrable ones after the others if they are limited. Returns whether the
 * time was up before all steps were placed.
 */
export function placeWithinBudget(
  ordered: readonly StepState[],
  placement: BudgetedPlacement,
): boolean {
  const {limit} = placement;
  const unlimited = new StartBudget(Infinity);
  if (limit === Infinity) {
    return placeAll(ordered, unlimited, placement);
  }
  const deferrable: StepState[] = [];
  const urgent: StepState[] = [];
  for (const step of ordered) {
    (placement.isDeferrable(step) ? deferrable : urgent).push(step);
  }
  const longestWaiting = deferrable.toSorted(
    (a, b) => a.job.dueAt(a.occurrence) - b.job.dueAt(b.occurrence),
  );
  const idle = new StartBudget(Math.ceil(limit * IDLE_SHARE));
  const part = new StartBudget(Math.ceil(limit * LONGEST_WAITING_SHARE) - idle.remaining);
  const rest = new StartBudget(limit - part.remaining - idle.remaining);
  if (placeAll(urgent, unlimited, placement) || placeIdleJobs(deferrable, idle, placement)) {
    return true;
  }
  part.take(-idle.remaining);
  const wasCut = placeAll(longestWaiting, part, placement);
  rest.take(-part.remaining);
  return wasCut || placeAll(deferrable, rest, placement);
}
