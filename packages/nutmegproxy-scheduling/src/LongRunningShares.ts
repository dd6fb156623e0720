/**
 * Divides the room for first starts of long-running tasks. Callers are served by the share of a step's tasks
 * at work, so each task goes to the step with the smallest share, and steps that arrive together rise together.
 */

import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

import {isStartableTask} from './ReadySteps.ts';

/**
 * Returns the number of a long-running step's tasks at work. One that has begun and may have a live run of a
 * former owner counts until its minion is heard.
 */
export function countTasksAtWork(fleet: Fleet, step: StepState): number {
  let lacking = 0;
  for (const index of step.waiting) {
    lacking += Number(isStartableTask(fleet, step, index) || !step.mayHaveRun(index));
  }
  return step.shape.count - lacking;
}

/**
 * Returns the share of a long-running step's tasks at work.
 *
 * @example
 * computeShareAtWork(fleet, step); // 0.25, with 3 of 12 tasks
 */
export function computeShareAtWork(fleet: Fleet, step: StepState): number {
  return countTasksAtWork(fleet, step) / step.shape.count;
}

/** Orders steps by arrival, so that each owner comes to the same order. */
export function compareArrivals(a: StepState, b: StepState): number {
  return (
    a.job.dueAt(a.occurrence) - b.job.dueAt(b.occurrence) ||
    Number(a.job.id > b.job.id) - Number(a.job.id < b.job.id) ||
    a.occurrence - b.occurrence ||
    a.number - b.number
  );
}

/** A long-running step of which tasks that have not run may start. */
export interface ShareClaim {
  /** Number of tasks at work. */
  readonly atWork: number;
  /** Whether a minion could take a task of the step if it were empty. */
  readonly isPlaceable: boolean;
  readonly step: StepState;
  /** Number of tasks that may start. */
  readonly tasks: number;
}

function compareClaims(a: ShareClaim, b: ShareClaim): number {
  const difference = a.atWork / a.step.shape.count - b.atWork / b.step.shape.count;
  return difference || compareArrivals(a.step, b.step);
}

/** Inserts a claim into claims in the order of their shares. */
function insertClaim(claims: ShareClaim[], claim: ShareClaim): void {
  let low = 0;
  let high = claims.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = claims[middle];
    if (other !== undefined && compareClaims(other, claim) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  claims.splice(low, 0, claim);
}

/**
 * The room of one service and priority in one planning round. While the step with the smallest share waits for
 * room, no other one gets what is left.
 *
 * @example
 * const division = new RoomDivision(claims, limitMilli - reservedMilli);
 * division.take(step, 12); // 2
 */
export class RoomDivision {
  /** Claims that may get more, smallest share first. */
  readonly #claims: ShareClaim[];
  readonly #granted = new Map<StepState, number>();
  #freeMilli: number;

  constructor(claims: readonly ShareClaim[], freeMilli: number) {
    this.#claims = claims.filter(({tasks}) => tasks > 0).sort(compareClaims);
    this.#freeMilli = freeMilli;
    this.#divide();
  }

  /** Whether a step waits for room that others may not take. */
  get isHeld(): boolean {
    return this.#claims.length > 0;
  }

  /** Returns how many of a step's tasks may start, `mostTasks` at most; these are not granted again. */
  take(step: StepState, mostTasks: number): number {
    const granted = this.#granted.get(step) ?? 0;
    const taken = Math.min(granted, mostTasks);
    this.#granted.set(step, granted - taken);
    return taken;
  }

  /** Gives the others the room of tasks that were taken and that no minion can run. */
  release(step: StepState, unusedTasks: number): void {
    const index = this.#claims.findIndex((claim) => claim.step === step);
    if (index >= 0) {
      this.#claims.splice(index, 1);
    }
    this.#freeMilli += unusedTasks * step.shape.resources.cpuMilli;
    this.#divide();
  }

  #divide(): void {
    for (let [claim] = this.#claims; claim !== undefined; [claim] = this.#claims) {
      const {atWork, isPlaceable, step, tasks} = claim;
      const {cpuMilli} = step.shape.resources;
      const hasRoom = cpuMilli <= this.#freeMilli;
      if (!hasRoom && isPlaceable) {
        return;
      }
      this.#claims.shift();
      if (hasRoom) {
        this.#freeMilli -= cpuMilli;
        this.#granted.set(step, (this.#granted.get(step) ?? 0) + 1);
        if (tasks > 1) {
          insertClaim(this.#claims, {...claim, atWork: atWork + 1, tasks: tasks - 1});
        }
      }
    }
  }
}
