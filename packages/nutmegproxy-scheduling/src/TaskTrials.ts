/**
 * Starts suspected tasks on trial: each alone on its minion, which gets no other work until the task
 * has run for some time. All other tasks of its job wait for the verdict, unless the job is to last:
 * its tasks serve users while they run, whatever becomes of the others. Where there are too many suspects
 * for that, several of them share a minion, and what has waited for too long starts on any minion.
 */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, Run, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {TrialPace} from './TrialPacing.ts';
import type {Suspect, SuspectContext} from './TrialSuspects.ts';

import {computeTrialMs, computeWaitedMs, isStronglySuspected} from './CrashVerdict.ts';
import {describeRun} from './RunFields.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {isApartFromSuspects} from './SuspectSeparation.ts';
import {computeTrialPace, countNeededTrials, MAX_TRIAL_DELAY_MS} from './TrialPacing.ts';
import {isTrial} from './TrialReview.ts';
import {chooseOverdueMinion, chooseTrialMinion, collectSuspects} from './TrialSuspects.ts';

/** Time in milliseconds after which a task that is hardly suspected starts without a trial. */
const MAX_TRIAL_WAIT_MS = 2_000;

export interface TrialContext extends SuspectContext {
  /** Minions that can run a task now: they have capacity and meet its constraints. */
  readonly listMinions: (step: StepState, index: number) => readonly MinionState[];
}

export interface TrialPlan {
  /** Those of the held jobs that are held as a task of theirs is deadly. */
  readonly deadly: ReadonlySet<JobState>;
  /** Jobs whose tasks must not start otherwise. */
  readonly held: ReadonlySet<JobState>;
  /** Tasks of other jobs that must not start otherwise, by step. */
  readonly heldTasks: ReadonlyMap<StepState, ReadonlySet<number>>;
  readonly starts: readonly Run[];
}

/** Records a start that may crash its minion, so that the store names it before it is sent. */
export function recordTrial(fleet: Fleet, run: Run): void {
  const bornAt = fleet.minions.get(run.minion)?.bornAt;
  run.step.crashes.trials.set(run.task.index, {
    ...(bornAt !== undefined && {bornAt}),
    minion: run.minion,
    run: run.number,
  });
  fleet.jobs.recordTrial(run.step.job);
  fleet.dirtyJobs.add(run.step.job);
}

/** Starts a task on trial. The minion gets no other work until the longest of its trials is over. */
function startTrial(
  fleet: Fleet,
  {index, isOverdue, step, trialMs, waitedMs}: Suspect,
  minion: MinionState,
  now: Instant,
): Run {
  const beside = minion.runs.size;
  const run = fleet.startRun(step, index, minion, now);
  const {trialRun} = minion;
  const otherMs = trialRun && computeTrialMs(trialRun.step.crashes.of(trialRun.task.index));
  if (!isOverdue && trialMs > (otherMs ?? 0)) {
    minion.trialRun = run;
  }
  recordTrial(fleet, run);
  fleet.events.record(SCHEDULING_EVENTS.TRIAL_STARTED, {
    ...describeRun(run),
    beside,
    crashes: step.crashes.of(index).length,
    waitedMs: Math.round(waitedMs),
  });
  return run;
}

/** The trials of a round. */
class TrialRound {
  readonly deadly = new Set<JobState>();
  readonly held = new Set<JobState>();
  readonly heldTasks = new Map<StepState, Set<number>>();
  readonly starts: Run[] = [];
  readonly #context: TrialContext;
  readonly #fleet: Fleet;
  /** Minions that got suspects in this round, with these. */
  readonly #groups = new Map<MinionState, Suspect[]>();
  /** Trials that may begin, of each job. */
  readonly #allowances = new Map<JobState, number>();
  /** Minions that are reserved for trials. */
  #minions = 0;

  constructor(fleet: Fleet, context: TrialContext) {
    this.#fleet = fleet;
    this.#context = context;
  }

  run(ready: readonly StepState[]): void {
    const fleet = this.#fleet;
    const {deadly, pausing, suspects} = collectSuspects(fleet, ready, this.#context);
    for (const job of deadly) {
      this.deadly.add(job);
      this.held.add(job);
    }
    for (const job of pausing) {
      this.held.add(job);
    }
    const timely = suspects.filter(({isOverdue, isRestrained}) => !isOverdue && !isRestrained);
    const restrained = suspects.filter(
      ({isDeadly, isOverdue, isRestrained, pauseMs, waitedMs}) =>
        isRestrained && !isDeadly && !isOverdue && waitedMs >= pauseMs,
    );
    const pace = computeTrialPace({restrained, suspects: timely}, fleet.minions.size);
    for (const [job, each] of groupByJob(timely)) {
      this.#allowances.set(job, countNeededTrials(each));
    }
    for (const {step} of suspects.filter(({isRestrained}) => isRestrained)) {
      this.#allowances.set(step.job, this.#allowances.get(step.job) ?? 1);
    }
    this.#countTrials();
    for (const suspect of suspects) {
      this.#consider(suspect, pace);
    }
  }

  /** Counts the trials that are not over. */
  #countTrials(): void {
    const {now} = this.#context;
    for (const {runs, trialRun} of this.#fleet.minions.values()) {
      this.#minions += trialRun === undefined ? 0 : 1;
      for (const run of trialRun === undefined ? [] : runs) {
        const {job, shape} = run.step;
        if (!isTrial(run)) {
          continue;
        }
        this.#allowances.set(job, (this.#allowances.get(job) ?? 0) - 1);
        if (
          !shape.longRunning &&
          computeWaitedMs(run.step, run.task.index, now) < MAX_TRIAL_DELAY_MS
        ) {
          this.held.add(job);
        }
      }
    }
  }

  #consider(suspect: Suspect, pace: TrialPace): void {
    const {index, isOverdue, isRestrained, pauseMs, step, waitedMs} = suspect;
    const {now} = this.#context;
    if (isRestrained) {
      this.#considerRestrained(suspect, pace);
      return;
    }
    const isEarly = waitedMs < MAX_TRIAL_WAIT_MS || this.held.has(step.job);
    if (isEarly && !isOverdue && !this.#mayBegin(suspect)) {
      this.#hold(suspect, step.shape.longRunning);
      return;
    }
    const crashes = step.crashes.of(index);
    const needsTrial = crashes.length > 1 && isStronglySuspected(crashes);
    const able = this.#context.listMinions(step, index);
    const apart = able.filter((minion) => isApartFromSuspects(step, index, minion, now));
    const minion =
      isOverdue && needsTrial
        ? chooseOverdueMinion(suspect, able, now)
        : this.#choose(suspect, pace, {able, apart});
    if (minion !== undefined) {
      this.#start(suspect, minion);
    }
    // Without a minion that can run it, the task is left to the rules of all tasks.
    const hasWaited = waitedMs >= Math.max(MAX_TRIAL_WAIT_MS, pauseMs);
    const needsNoTrial = minion === undefined && hasWaited && !(needsTrial && able.length > 0);
    const waitsForOthers = able.length > 0 && apart.length === 0;
    if (isOverdue || (needsNoTrial && !waitsForOthers)) {
      return;
    }
    this.#hold(suspect, needsNoTrial || step.shape.longRunning);
  }

  /** Starts a restrained task, if it is its turn, and holds its job, of which a lasting one goes on without it. */
  #considerRestrained(suspect: Suspect, pace: TrialPace): void {
    const {index, isDeadly, isOverdue, step} = suspect;
    const {now} = this.#context;
    if (isDeadly) {
      this.#holdDeadly(suspect);
      return;
    }
    if (isOverdue || (this.#mayBegin(suspect) && this.#minions < pace.minions)) {
      const able = this.#context.listMinions(step, index);
      const apart = able.filter((minion) => isApartFromSuspects(step, index, minion, now));
      const minion = isOverdue
        ? chooseOverdueMinion(suspect, able, now)
        : chooseTrialMinion(suspect, apart);
      if (minion !== undefined) {
        this.#start(suspect, minion);
      }
    }
    this.#hold(suspect, step.shape.longRunning);
  }

  /** Holds a deadly task and its job, which can't be completed without it; a lasting job goes on. */
  #holdDeadly(suspect: Suspect): void {
    const {job, shape} = suspect.step;
    this.#hold(suspect, shape.longRunning);
    if (!shape.longRunning) {
      this.deadly.add(job);
    }
  }

  /** Holds a suspect alone or its whole job. */
  #hold({index, step}: Suspect, isAlone: boolean): void {
    if (isAlone) {
      this.heldTasks.set(step, (this.heldTasks.get(step) ?? new Set()).add(index));
    } else {
      this.held.add(step.job);
    }
  }

  /** Whether the suspect may be tried now, if there is a minion for it. */
  #mayBegin({pauseMs, step, waitedMs}: Suspect): boolean {
    return waitedMs >= pauseMs && (this.#allowances.get(step.job) ?? 0) > 0;
  }

  #choose(
    suspect: Suspect,
    {groupSize, minions}: TrialPace,
    {able, apart}: Readonly<Record<'able' | 'apart', readonly MinionState[]>>,
  ): MinionState | undefined {
    const {job} = suspect.step;
    if (!this.#mayBegin(suspect)) {
      return undefined;
    }
    const own = able.find((minion) => this.#isGroupOf(minion, job));
    if (own !== undefined) {
      return own;
    }
    const free = this.#minions < minions ? chooseTrialMinion(suspect, apart) : undefined;
    if (free !== undefined || !suspect.mayShareMinion) {
      return free;
    }
    return able.find((minion) => {
      const group = this.#groups.get(minion) ?? [];
      const isOpen = group.length > 0 && group.length < groupSize;
      return isOpen && group.every(({mayShareMinion}) => mayShareMinion);
    });
  }

  /** Whether the minion got suspects of this job alone. */
  #isGroupOf(minion: MinionState, job: JobState): boolean {
    const group = this.#groups.get(minion);
    return group?.every(({step}) => step.job === job) ?? false;
  }

  #start(suspect: Suspect, minion: MinionState): void {
    const {job} = suspect.step;
    this.starts.push(startTrial(this.#fleet, suspect, minion, this.#context.now));
    this.#allowances.set(job, (this.#allowances.get(job) ?? 0) - 1);
    if (suspect.isOverdue) {
      return;
    }
    const group = this.#groups.get(minion);
    this.#minions += group === undefined ? 1 : 0;
    this.#groups.set(minion, [...(group ?? []), suspect]);
  }
}

function groupByJob(suspects: readonly Suspect[]): Map<JobState, Suspect[]> {
  const groups = new Map<JobState, Suspect[]>();
  for (const suspect of suspects) {
    const {job} = suspect.step;
    const group = groups.get(job);
    if (group === undefined) {
      groups.set(job, [suspect]);
    } else {
      group.push(suspect);
    }
  }
  return groups;
}

/** Plans the trials of the steps that are ready. */
export function planTrials(
  fleet: Fleet,
  ready: readonly StepState[],
  context: TrialContext,
): TrialPlan {
  const round = new TrialRound(fleet, context);
  round.run(ready);
  return round;
}
