/** Decides which tasks start now and where. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run, RunNumber, ServiceId, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {PlacementView} from './Placement.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

import {planCopies} from './CopyPlanner.ts';
import {orderSteps} from './JobOrder.ts';
import {MinionRanking} from './MinionRanking.ts';
import {isUsable} from './Placement.ts';

/**
 * Share of a service's processors beyond which no further long-running job begins. What long-running
 * jobs take is not given back for minutes, and short work that finds no room is late at once.
 */
const LONG_RUNNING_CEILING = 0.88;

/**
 * Time in milliseconds after which a filling step that found no minion is looked at again. In a
 * backlog most rounds of planning would go into such steps, while the loads beside which they may run
 * change within seconds.
 */
const BLOCKED_PAUSE_MS = 150;

/** Permissions of an external service, where a queue needs them. */
export interface AdviceView {
  /** Whether the step may run on the minion; undefined while that is not known. */
  readonly isPermitted: (step: StepState, minion: MinionState) => boolean | undefined;
}

export interface PlanContext {
  readonly advice: AdviceView;
  readonly estimate: WorkEstimate;
  readonly now: Instant;
  readonly view: PlacementView;
  readonly wall: WallTime;
}

/** Whether all earlier steps of the occurrence have ended. */
function isReady(step: StepState, siblings: readonly StepState[]): boolean {
  return step.shape.after.every((earlier) => siblings[earlier]?.isDone ?? false);
}

/**
 * The waiting tasks of a step that no run of a former owner can be alive of. While the minions are not
 * all accounted for, these are the ones whose last run this owner saw itself.
 */
function listStartable(fleet: Fleet, {job, recoveredTasks: settled, waiting}: StepState): number[] {
  const indexes = [...waiting];
  return job.revision <= fleet.recoveryRevision
    ? indexes.filter((index) => settled.has(index))
    : indexes;
}

/** The steps with tasks that wait and may start. */
export function collectReadySteps(fleet: Fleet, now: Instant, wall: WallTime): StepState[] {
  const ready: StepState[] = [];
  for (const job of fleet.jobs.values()) {
    if (job.isFinal) {
      continue;
    }
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps) {
        if (listStartable(fleet, step).length > 0 && isReady(step, steps)) {
          step.readyAt ??= now;
          ready.push(step);
        }
      }
    }
  }
  return ready;
}

/** Plans the starts of one round. */
class PlanRound {
  readonly #context: PlanContext;
  readonly #fleet: Fleet;
  readonly #starts: Run[] = [];
  readonly #usable = new Map<ServiceId, MinionState[]>();

  constructor(fleet: Fleet, context: PlanContext) {
    this.#fleet = fleet;
    this.#context = context;
    for (const minion of fleet.minions.values()) {
      if (isUsable(minion, context.now)) {
        const {service} = minion.description;
        const others = this.#usable.get(service);
        if (others === undefined) {
          this.#usable.set(service, [minion]);
        } else {
          others.push(minion);
        }
      }
    }
  }

  run(): Run[] {
    const {estimate, now, view, wall} = this.#context;
    const ready = collectReadySteps(this.#fleet, now, wall);
    for (const {step} of orderSteps(this.#fleet, ready, estimate, wall)) {
      if (step.shape.gang) {
        this.#placeGang(step);
      } else {
        this.#placeTasks(step);
      }
    }
    const usable = [...this.#usable.values()].flat();
    return [...this.#starts, ...planCopies(this.#fleet, usable, view, estimate, now)];
  }

  #choose(step: StepState, index: number, ranking: MinionRanking): MinionState | undefined {
    return ranking.choose((minion) => this.#isAllowed(step, index, minion));
  }

  #rank(step: StepState, minions: readonly MinionState[]): MinionRanking {
    const {now, view} = this.#context;
    return new MinionRanking(step, minions, view, now);
  }

  /** Whether the minion suits the task: permitted, and none on which it failed. */
  #isAllowed(step: StepState, index: number, minion: MinionState): boolean {
    const {advice: policy, maxAttempts} = this.#fleet.policy(step.job);
    if (step.avoided.get(index)?.has(minion.id)) {
      return false;
    }
    // A run whose end is not known yet may have failed and count as an attempt.
    if (!step.shape.longRunning && step.countPossibleFailures(index) >= maxAttempts) {
      return false;
    }
    // A task on its last attempt goes to a minion that nothing speaks against.
    const failures = step.failures.get(index)?.length ?? 0;
    const isLastAttempt = failures > 0 && failures >= maxAttempts - 1;
    if (isLastAttempt && !step.shape.longRunning && minion.trust.isDoubted) {
      return false;
    }
    return policy === undefined || this.#context.advice.isPermitted(step, minion) === true;
  }

  #minions(step: StepState): readonly MinionState[] {
    return this.#usable.get(this.#fleet.policy(step.job).service) ?? [];
  }

  /** Places all tasks of a gang, or none of them; on one rack where that matters and one has room. */
  #placeGang(step: StepState): void {
    const isWhole = listStartable(this.#fleet, step).length === step.waiting.size;
    if (step.liveRuns > 0 || !isWhole) {
      return;
    }
    const minions = this.#minions(step);
    const racks = step.shape.rackLocal
      ? [...new Set(minions.map(({description}) => description.rack))].map((rack) =>
          minions.filter(({description}) => description.rack === rack),
        )
      : [];
    for (const candidates of [...racks, minions]) {
      if (this.#tryGang(step, candidates)) {
        return;
      }
    }
  }

  /** Whether a long-running job that has not begun would take room that short work needs. */
  #isHeldBack(step: StepState, minions: readonly MinionState[]): boolean {
    const {job, shape} = step;
    if (!shape.longRunning || job.hasStarted) {
      return false;
    }
    let capacity = 0;
    let reserved = shape.resources.cpuMilli * shape.count;
    for (const {description, reserved: taken} of minions) {
      capacity += description.capacity.cpuMilli;
      reserved += taken.cpuMilli;
    }
    return reserved > capacity * LONG_RUNNING_CEILING;
  }

  /** Whether a filling step found no minion a moment ago. */
  #isBlocked({blockedAt, shape}: StepState): boolean {
    const blockedForMs = this.#context.now - (blockedAt ?? -Infinity);
    return shape.fillsSpareCpu && blockedForMs < BLOCKED_PAUSE_MS;
  }

  #placeTasks(step: StepState): void {
    const minions = this.#minions(step);
    if (this.#isHeldBack(step, minions) || this.#isBlocked(step)) {
      return;
    }
    let ranking = this.#rank(step, minions);
    for (const [order, index] of listStartable(this.#fleet, step).entries()) {
      const minion =
        this.#choose(step, index, ranking) ?? this.#chooseAvoided(step, index, minions, ranking);
      if (minion === undefined) {
        step.blockedAt = this.#context.now;
        return;
      }
      this.#starts.push(this.#fleet.startRun(step, index, minion, this.#context.now));
      if (order === 0 && step.shape.fillsSpareCpu) {
        // A step that has waited is let in where others are not; its first task ends the wait.
        ranking = this.#rank(step, minions);
      } else {
        ranking.refresh(minion);
      }
    }
  }

  /** A task that was avoided everywhere may go anywhere again. */
  #chooseAvoided(
    step: StepState,
    index: number,
    minions: readonly MinionState[],
    ranking: MinionRanking,
  ): MinionState | undefined {
    const avoided = step.avoided.get(index);
    if (avoided === undefined || minions.some(({id}) => !avoided.has(id))) {
      return undefined;
    }
    step.avoided.delete(index);
    return this.#choose(step, index, ranking);
  }

  #tryGang(step: StepState, minions: readonly MinionState[]): boolean {
    const indexes = [...step.waiting];
    const number = Math.max(
      ...indexes.map((index) => step.nextRunNumber(index, this.#fleet.runNumberBase)),
    ) as RunNumber;
    const {now} = this.#context;
    const ranking = this.#rank(step, minions);
    const runs: Run[] = [];
    for (const index of indexes) {
      const minion = this.#choose(step, index, ranking);
      if (minion === undefined) {
        for (const run of runs) {
          this.#fleet.withdrawRun(run);
        }
        return false;
      }
      runs.push(this.#fleet.startRun(step, index, minion, now, number));
      ranking.refresh(minion);
    }
    this.#starts.push(...runs);
    return true;
  }
}

/**
 * Books the runs that can start now and returns them, to be sent to their minions. Answers loads
 * in which more work waits than there is room for.
 */
export function planStarts(fleet: Fleet, context: PlanContext): Run[] {
  return new PlanRound(fleet, context).run();
}
