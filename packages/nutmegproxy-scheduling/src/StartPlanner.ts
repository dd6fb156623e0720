/** Decides which tasks start now and on which minions. */

import type {Run, RunNumber, StepState} from '@nutmegproxy/jobs';

import type {WorkOutlook} from './ExpectedWork.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {PlanContext} from './PlanContext.ts';
import type {TrialPlan} from './TaskTrials.ts';

import {listCrashes} from './CrashVerdict.ts';
import {findSoonIdleSince} from './ExpectedWork.ts';
import {findGangMinions} from './GangPlacement.ts';
import {startInterruptedTasks} from './InterruptedTaskStarts.ts';
import {orderSteps} from './JobOrder.ts';
import {LongRunningStarts} from './LongRunningStarts.ts';
import {MinionRanking} from './MinionRanking.ts';
import {MinionsByService} from './MinionsByService.ts';
import {
  avoidInterference,
  findIdleSteps,
  findOverdueSteps,
  hasTaskWaitedSince,
  hasTurn,
  listUntrustedMinions,
  orderByLastStart,
  tolerateInterference,
} from './OverdueSteps.ts';
import {deriveMaxWait} from './PendingBounds.ts';
import {computePlacementCost, isSchedulable} from './Placement.ts';
import {collectReadySteps, isInBackoff, listStartableTasks} from './ReadySteps.ts';
import {planSpeculativeRuns} from './SpeculationPlanner.ts';
import {
  countDeferrable,
  isDeferrable,
  isIdleForLong,
  placeWithinBudget,
  StartBudget,
} from './StartBudget.ts';
import {StartPermissions} from './StartPermissions.ts';
import {isApartFromSuspects} from './SuspectSeparation.ts';
import {planTrials, recordTrial} from './TaskTrials.ts';
import {watchSuspects} from './TrialReview.ts';

/** Share of the time for placement in which steps that found no minion in the same pass are tried again. */
const RETRY_SHARE = 1 / 3;

/** Tasks of a step that are passed over in one round before the step waits; bounds its duration. */
const MAX_SKIPPED_TASKS = 100;

/** One planning round. */
class PlanningRound {
  readonly #context: PlanContext;
  readonly #fleet: Fleet;
  /** Whether a task was placed or tried; each round makes progress, however little time it has. */
  #hasProgressed = false;
  /** Whether the time was up before all tasks of a step were tried. */
  #isStepCut = false;
  /** Suspected tasks that must not start like any others. */
  #heldTasks: TrialPlan['heldTasks'] = new Map();
  /** Whether a step that found no minion in this pass was tried again in this round. */
  #hasRetried = false;
  readonly #longRunningStarts: LongRunningStarts;
  /** Lasting tasks that wait since later are left out; Infinity leaves out none. */
  #lastingSince = Infinity;
  /** Step of overdue backfill of which serving tasks have to bear a task. */
  #borne: StepState | undefined;
  /** Steps of backfill of which serving tasks have to bear a task where they tolerate none. */
  #overdueBackfill: ReadonlySet<StepState> = new Set();
  readonly #permissions: StartPermissions;
  readonly #starts: Run[] = [];
  readonly #schedulable: MinionsByService;

  constructor(fleet: Fleet, context: PlanContext) {
    this.#fleet = fleet;
    this.#context = context;
    this.#permissions = new StartPermissions(fleet, context);
    const {now, wall} = context;
    this.#longRunningStarts = new LongRunningStarts(fleet, this.#listStartable, now, wall);
    const minions = [...fleet.minions.values()];
    this.#schedulable = new MinionsByService(
      minions.filter((minion) => isSchedulable(minion, context.now)),
    );
  }

  run(): Run[] {
    const {estimator, now, sharingCosts, wall} = this.#context;
    this.#fleet.freeRoom.observe(this.#fleet, now);
    const ready = collectReadySteps(this.#fleet, now, wall);
    const trials = this.#planTrials(ready);
    this.#heldTasks = trials.heldTasks;
    this.#fleet.deadlyJobs = trials.deadly;
    this.#fleet.suspectedJobs = trials.held;
    const others = ready.filter(
      (step) => !trials.held.has(step.job) && !step.job.isFinal && this.#mayStart(step),
    );
    const visits = orderSteps(this.#fleet, others, estimator, wall).map(({step}) => step);
    const ordered = [...new Set(visits)];
    const backfill = ordered.filter(({shape}) => shape.fillsSpareCpu);
    this.#overdueBackfill = new Set(
      [findOverdueSteps, findIdleSteps].flatMap((find) =>
        find(this.#fleet, backfill, this.#maxWaitMs, now),
      ),
    );
    this.#permissions.admitsFailedTrials = false;
    let wasCut = this.#place(orderByLastStart(visits, this.#overdueBackfill));
    this.#permissions.admitsFailedTrials = true;
    const failedTrials = ordered.filter(({hasFailedTrial}) => hasFailedTrial);
    if (!wasCut && failedTrials.length > 0 && this.#schedulable.hasOpenTrial(now)) {
      wasCut = this.#place(failedTrials);
    }
    this.#context.sweep?.endRound(wasCut || this.#isStepCut);
    this.#permissions.passesTrust = 'all';
    const interrupted = startInterruptedTasks(this.#fleet, ordered, {
      isAllowed: this.#isAllowed,
      listStartable: this.#listStartable,
      now,
      sharingCosts,
    });
    const schedulable = this.#schedulable.list();
    this.#placeOverdue(ordered);
    watchSuspects(this.#fleet, [...this.#starts, ...interrupted]);
    return [
      ...trials.starts,
      ...this.#starts,
      ...interrupted,
      ...planSpeculativeRuns(this.#fleet, schedulable, sharingCosts, estimator, now),
    ];
  }

  /** Whether this round may start tasks of the step at all. */
  #mayStart(step: StepState): boolean {
    const {deferrableStarts = Infinity, isBacklogged = false, now} = this.#context;
    if (!isDeferrable(this.#fleet, step)) {
      return true;
    }
    return !isBacklogged && (deferrableStarts > 0 || isIdleForLong(step, this.#outlook, now));
  }

  /**
   * Places the tasks of steps in the given order, `mostTasks` of each at most; returns whether the time was up
   * before the last one.
   */
  #place(steps: readonly StepState[], mostTasks = Infinity): boolean {
    const {deferrableStarts = Infinity, now, sweep} = this.#context;
    const {admitsFailedTrials} = this.#permissions;
    this.#longRunningStarts.begin(steps);
    return placeWithinBudget(steps, {
      isDeferrable: (step) => isDeferrable(this.#fleet, step),
      isTimeUp: this.#isTimeUp,
      limit: Math.max(0, deferrableStarts - countDeferrable(this.#fleet, this.#starts)),
      now,
      outlook: this.#outlook,
      place: (step, budget) => {
        const isRetry = sweep?.hasTried(step, admitsFailedTrials) ?? false;
        if (isRetry && !this.#mayRetry()) {
          this.#longRunningStarts.skip(step, this.#listMinions(step));
          return;
        }
        const hadProgressed = this.#hasProgressed;
        const starts = this.#starts.length;
        const most = step.shape.longRunning ? Infinity : mostTasks;
        this.#placeStep(step, new StartBudget(Math.min(budget.remaining, most)));
        budget.take(this.#starts.length - starts);
        const hasStarted = this.#starts.length > starts;
        this.#hasProgressed = hasStarted || !isRetry || hadProgressed;
        if (!hasStarted && !budget.isUsedUp) {
          sweep?.recordTried(step, admitsFailedTrials);
        }
      },
    });
  }

  /** Places tasks of a step where serving tasks tolerate them; of overdue backfill otherwise one that they have to bear. */
  #placeStep(step: StepState, budget: StartBudget): void {
    const starts = this.#starts.length;
    this.#placeTasksOrGang(step, budget);
    const hasStarted = this.#starts.length > starts;
    // Where the first placement was cut, a minion that tolerates the step may not have been tried.
    if (this.#overdueBackfill.has(step) && !hasStarted && !this.#isStepCut) {
      this.#borne = step;
      this.#placeTasksOrGang(step, new StartBudget(Math.min(1, budget.remaining)));
      this.#borne = undefined;
    }
  }

  #placeTasksOrGang(step: StepState, budget: StartBudget): void {
    if (step.shape.gang) {
      this.#placeGang(step, budget);
    } else {
      this.#placeTasks(step, budget);
    }
  }

  get #outlook(): WorkOutlook {
    return {estimator: this.#context.estimator, fleet: this.#fleet};
  }

  get #maxWaitMs(): number {
    return deriveMaxWait(this.#context);
  }

  /**
   * Places a task of each step that has waited for too long on minions that are not trusted, in place of their next
   * trials; then one of each idle step on any but those that may be what made it fail.
   */
  #placeOverdue(ordered: readonly StepState[]): void {
    const {now} = this.#context;
    const overdue = findOverdueSteps(this.#fleet, ordered, this.#maxWaitMs, now);
    const idle = findIdleSteps(this.#fleet, ordered, this.#maxWaitMs, now);
    const isNeeded = overdue.length + idle.length > 0;
    const untrusted = isNeeded ? listUntrustedMinions(this.#fleet, now) : [];
    this.#schedulable.add(untrusted);
    const placed = this.#starts.length;
    this.#lastingSince = now - this.#maxWaitMs;
    this.#place(untrusted.length > 0 ? overdue : [], 1);
    for (const minion of new Set(this.#starts.slice(placed).map((run) => run.minion))) {
      this.#fleet.minions.get(minion)?.trust.postponeTrial(now);
    }
    this.#permissions.passesTrust = 'other';
    this.#place(idle, 1);
  }

  /** Whether a step that found no minion in this pass is tried once more, as room may have become free. */
  #mayRetry(): boolean {
    const isAllowed = !this.#hasRetried || this.#context.isTimeUp?.(RETRY_SHARE) !== true;
    this.#hasRetried = true;
    return isAllowed;
  }

  readonly #isTimeUp = (): boolean => this.#hasProgressed && (this.#context.isTimeUp?.() ?? false);

  readonly #isAllowed = (step: StepState, index: number, minion: MinionState): boolean =>
    this.#permissions.isAllowed(step, index, minion) &&
    isApartFromSuspects(step, index, minion, this.#context.now);

  /** Returns the startable tasks of a step, without those that suspicion holds and lasting ones that are not overdue. */
  readonly #listStartable = (step: StepState): number[] => {
    const held = this.#heldTasks.get(step);
    const startable = listStartableTasks(this.#fleet, step);
    return held === undefined && this.#lastingSince === Infinity
      ? startable
      : startable.filter(
          (index) =>
            held?.has(index) !== true && hasTaskWaitedSince(step, index, this.#lastingSince),
        );
  };

  #choose(step: StepState, index: number, ranking: MinionRanking): MinionState | undefined {
    return ranking.choose((minion) => this.#isAllowed(step, index, minion));
  }

  /**
   * Chooses a minion for a member of a gang: if possible one that has not crashed under the gang, so
   * that the crashes tell its members from the machines, or else one that has not under the member.
   */
  #chooseForMember(
    step: StepState,
    index: number,
    ranking: MinionRanking,
  ): MinionState | undefined {
    for (const crashes of [listCrashes(step, index), step.crashes.of(index)]) {
      const crashed = new Set(crashes.map(({address}) => address));
      const minion = ranking.choose(
        (each) =>
          !crashed.has(each.description.address) && this.#permissions.isAllowed(step, index, each),
      );
      if (minion !== undefined) {
        return minion;
      }
    }
    return this.#choose(step, index, ranking);
  }

  #rank(step: StepState, minions: readonly MinionState[]): MinionRanking {
    const {now, sharingCosts} = this.#context;
    if (!this.#overdueBackfill.has(step)) {
      return new MinionRanking(step, minions, sharingCosts, now);
    }
    const adjust = this.#borne === step ? tolerateInterference : avoidInterference;
    return new MinionRanking(step, minions, adjust(sharingCosts), now);
  }

  #planTrials(ready: readonly StepState[]): TrialPlan {
    const {now, sharingCosts} = this.#context;
    const plan = planTrials(this.#fleet, ready, {
      listMinions: (step, index) =>
        this.#listMinions(step).filter(
          (minion) =>
            this.#permissions.isAllowed(step, index, minion) &&
            computePlacementCost(step, minion, sharingCosts, now) !== undefined,
        ),
      listStartable: (step) => listStartableTasks(this.#fleet, step),
      now,
    });
    if (plan.starts.length > 0) {
      this.#schedulable.removeTrialMinions();
    }
    return plan;
  }

  #listMinions(step: StepState): readonly MinionState[] {
    return this.#schedulable.of(this.#fleet.resolveQueuePolicy(step.job).service);
  }

  /** Places all tasks of a gang or none; rack-local gangs on a single rack if one has capacity. */
  #placeGang(step: StepState, budget: StartBudget): void {
    const isWhole = listStartableTasks(this.#fleet, step).length === step.waiting.size;
    if (step.liveRuns > 0 || !isWhole) {
      return;
    }
    const minions = this.#listMinions(step);
    const racks = step.shape.rackLocal
      ? [...new Set(minions.map(({description}) => description.rack))].map((rack) =>
          minions.filter(({description}) => description.rack === rack),
        )
      : [];
    for (const candidates of [...racks, minions]) {
      if (this.#tryPlaceGang(step, candidates)) {
        budget.take(step.liveRuns);
        return;
      }
    }
  }

  /** Whether a step's first placed task, which ends its wait, changes its costs; undefined when that is not known. */
  #dependsOnWait(step: StepState): boolean | undefined {
    const {now} = this.#context;
    return step.shape.fillsSpareCpu ? this.#context.sharingCosts.dependsOnWait?.(step, now) : false;
  }

  #placeTasks(step: StepState, budget: StartBudget): void {
    const minions = this.#listMinions(step);
    if (isInBackoff(step, this.#context.now)) {
      return;
    }
    const waiting = this.#listStartable(step);
    const startable = step.shape.longRunning
      ? this.#longRunningStarts.admit(step, waiting, minions)
      : waiting;
    let ranking: MinionRanking | undefined;
    let skipped = 0;
    for (const [order, index] of startable.entries()) {
      if (budget.isUsedUp) {
        return;
      }
      if (this.#borne !== step && this.#isTimeUp()) {
        this.#isStepCut = true;
        return;
      }
      ranking ??= this.#rank(step, minions);
      const minion = this.#choose(step, index, ranking);
      this.#hasProgressed = true;
      if (minion === undefined) {
        step.blockedAt = this.#context.now;
        if (step.shape.longRunning && skipped === 0) {
          this.#longRunningStarts.recordNoMinion(step, minions);
        }
        skipped += 1;
        // What keeps this task from the minions with room may not keep the others of its step.
        const hasRoom =
          ranking.choose((each) => this.#permissions.isOpenTo(step, each)) !== undefined;
        if (hasRoom && skipped < MAX_SKIPPED_TASKS) {
          continue;
        }
        break;
      }
      const mayHaveRisen = order === skipped ? this.#dependsOnWait(step) : false;
      this.#starts.push(this.#startRun(step, index, minion));
      budget.take(1);
      if (mayHaveRisen === undefined) {
        ranking = undefined;
        continue;
      }
      if (mayHaveRisen) {
        ranking.expire();
      }
      ranking.refresh(minion);
    }
    if (skipped > 0 && step.shape.longRunning) {
      this.#longRunningStarts.release(step, startable, minions);
    }
  }

  #startRun(step: StepState, index: number, minion: MinionState, number?: RunNumber): Run {
    const {now} = this.#context;
    const isAwaited = findSoonIdleSince(step, this.#outlook, now) < Infinity;
    const run = this.#fleet.startRun(step, index, minion, now, number);
    run.isAwaited = isAwaited;
    const isFirst = step.liveRuns === 1 || step.shape.gang;
    const isTurn = this.#borne === step || (isFirst && !hasTurn(minion));
    if (isTurn && this.#overdueBackfill.has(step)) {
      run.toleratedSince = now;
    }
    return run;
  }

  #tryPlaceGang(step: StepState, minions: readonly MinionState[]): boolean {
    const {now} = this.#context;
    const ranking = this.#rank(step, minions);
    const choose = (index: number): MinionState | undefined =>
      this.#chooseForMember(step, index, ranking);
    const chosen = findGangMinions(step, {choose, now, ranking});
    if (chosen === undefined) {
      return false;
    }
    const numbers = [...chosen.keys()].map((index) =>
      step.nextRunNumber(index, this.#fleet.runNumberBase),
    );
    const number = Math.max(...numbers) as RunNumber;
    const runs = [...chosen].map(([index, minion]) => this.#startRun(step, index, minion, number));
    if (!step.crashes.isEmpty) {
      for (const run of runs) {
        recordTrial(this.#fleet, run);
      }
    }
    this.#starts.push(...runs);
    return true;
  }
}

/**
 * Adds the runs that can start now and returns them, to be sent to their minions. More work may
 * wait than there is capacity for.
 */
export function planStarts(fleet: Fleet, context: PlanContext): Run[] {
  return new PlanningRound(fleet, context).run();
}
