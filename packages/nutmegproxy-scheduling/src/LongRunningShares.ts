/**
 * Divides the room for first starts of long-running tasks. Callers are served by the share of a step's tasks
 * at work, so each task goes to the step with the smallest share, and steps that arrive together rise together.
 */

import type {StepState} from '@nutmegproxy/jobs';

import {findFirstIndex} from '@nutmegproxy/core';

import type {Fleet} from './Fleet.ts';

import {isStartableTask} from './ReadySteps.ts';

/** Part of a task at which it counts. */
const MIDDLE_OF_TASK = 0.5;

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
 * Returns the share of a step's tasks that its next one is counted at: the middle of that task, as in the
 * Sainte-Laguë method. At its end a wide step would starve narrow ones, and at its beginning each new step would
 * precede all that have a task at work.
 *
 * @example
 * computeNextShare(3, 12); // 3.5 of 12
 */
export function computeNextShare(atWork: number, count: number): number {
  return (atWork + MIDDLE_OF_TASK) / count;
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

/** Processors in thousandths of a core. */
export interface DividedRoom {
  readonly freeMilli: number;
  /** Free room above which no step holds it, as others beside so much have to run. */
  readonly maxHeldMilli: number;
}

function compareClaims(a: ShareClaim, b: ShareClaim): number {
  const shareOfA = computeNextShare(a.atWork, a.step.shape.count);
  const shareOfB = computeNextShare(b.atWork, b.step.shape.count);
  return shareOfA - shareOfB || compareArrivals(a.step, b.step);
}

/** Inserts a claim into claims in the order of their shares. */
function insertClaim(claims: ShareClaim[], claim: ShareClaim): void {
  const index = findFirstIndex(claims, (other) => compareClaims(other, claim) < 0);
  claims.splice(index, 0, claim);
}

/**
 * The room of one service and priority in one planning round. While the step with the smallest share waits for
 * room, no other one gets what is left.
 *
 * @example
 * const division = new RoomDivision(claims, {freeMilli, maxHeldMilli});
 * division.take(step, 12); // 2
 */
export class RoomDivision {
  /** Claims that may get more, smallest share first. */
  readonly #claims: ShareClaim[];
  readonly #granted = new Map<StepState, number>();
  #freeMilli: number;
  #isHeld = false;
  readonly #maxHeldMilli: number;

  constructor(claims: readonly ShareClaim[], {freeMilli, maxHeldMilli}: DividedRoom) {
    this.#claims = claims.filter(({tasks}) => tasks > 0).sort(compareClaims);
    this.#freeMilli = freeMilli;
    this.#maxHeldMilli = maxHeldMilli;
    this.#divide();
  }

  /** Whether a step waits for room that others may not take. */
  get isHeld(): boolean {
    return this.#isHeld;
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
    this.#isHeld = false;
    let index = 0;
    for (let [claim] = this.#claims; claim !== undefined; claim = this.#claims[index]) {
      const {atWork, isPlaceable, step, tasks} = claim;
      const {cpuMilli} = step.shape.resources;
      if (cpuMilli <= this.#freeMilli) {
        this.#claims.splice(index, 1);
        this.#freeMilli -= cpuMilli;
        this.#granted.set(step, (this.#granted.get(step) ?? 0) + 1);
        if (tasks > 1) {
          insertClaim(this.#claims, {...claim, atWork: atWork + 1, tasks: tasks - 1});
        }
      } else if (isPlaceable && this.#freeMilli <= this.#maxHeldMilli) {
        this.#isHeld = true;
        return;
      } else {
        index += 1;
      }
    }
  }
}
