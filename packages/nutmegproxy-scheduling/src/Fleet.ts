/** The owner's state of the fleet: jobs, minions and runs. All changes of runs are made here. */

import type {EventSink, Instant, MinionId, PlatformBounds} from '@nutmegproxy/core';
import type {
  Checkpoint,
  JobState,
  QueueId,
  Run,
  RunNumber,
  RunOutcome,
  StepState,
  TaskCrash,
  TaskRef,
} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

import type {MinionState} from './MinionState.ts';
import type {QueuePolicy} from './QueuePolicy.ts';
import type {StopReason, StopRequest} from './StopRequest.ts';

import {createRun} from './FleetUtils.ts';
import {FreeRoom} from './FreeRoom.ts';
import {JobTable} from './JobTable.ts';
import {recordFailure, recordSuccess} from './MinionQuarantine.ts';
import {OutageLog} from './OutageLog.ts';
import {DEFAULT_QUEUE_POLICY} from './QueuePolicy.ts';
import {describeRun, describeRuns} from './RunFields.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {StartDelay} from './StartDelay.ts';
import {StartWaitLog} from './StartWaitLog.ts';

type FleetBounds = Pick<PlatformBounds, 'finishMs'>;

export class Fleet {
  /** When speculative runs were last planned. */
  speculationPlannedAt = -Infinity;
  /** Jobs whose progress has to be written to the store. */
  readonly dirtyJobs = new Set<JobState>();
  readonly jobs = new JobTable();
  readonly minions = new Map<MinionId, MinionState>();
  readonly queues = new Map<QueueId, QueuePolicy>();
  /** When this VM knew that the last ownership with minion leases had ended; undefined when it is not known. */
  formerReleasedAt: Instant | undefined;
  /** Jobs accepted up to this revision may have runs on minions that have not reported yet. */
  recoveryRevision = 0;
  /** Number of starts that were decided on. */
  plannedStarts = 0;
  /** Lowest run number that this owner may use for a task without a known run. */
  runNumberBase = 1;
  /** Stop requests that have not been sent yet. */
  readonly pendingStops: StopRequest[] = [];
  /** Since when services have had free room; the rounds of planning keep it up to date. */
  readonly freeRoom = new FreeRoom();
  /** Recent crashes of minions. */
  readonly outages = new OutageLog();
  /** Number of runs that may be to blame for each crash that this owner saw. */
  readonly crashSuspects = new WeakMap<TaskCrash, number>();
  readonly startDelay = new StartDelay();
  readonly startWaits = new StartWaitLog();
  /** Jobs of which planning has last withheld all tasks, since one is suspected of crashes. */
  suspectedJobs: ReadonlySet<JobState> = new Set();
  /** Jobs of which planning has last withheld all tasks, since chance is excluded as the cause of crashes under one. */
  deadlyJobs: ReadonlySet<JobState> = new Set();
  readonly events: EventSink;
  /** Time in milliseconds in which accepted work with free room has to run. */
  readonly finishMs: number;

  constructor(events: EventSink, {finishMs}: FleetBounds = DEFAULT_PLATFORM_BOUNDS) {
    this.events = events;
    this.finishMs = finishMs;
  }

  /**
   * Adds a run that this owner did not start, such as one that a minion listed. The caller records
   * the runs that it adopts together by `recordAdoption`.
   */
  adoptRun(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    minion: MinionState,
    now: Instant,
  ): Run {
    const run = this.#addRun(step, task, number, minion, now);
    run.isAdopted = true;
    run.phase = 'running';
    run.confirmedAt = now;
    step.placedAt ??= now;
    return run;
  }

  cancelJob(job: JobState): void {
    if (job.isFinal) {
      return;
    }
    job.status = 'cancelled';
    this.jobs.recordEnd(job);
    this.dirtyJobs.add(job);
    this.events.record(SCHEDULING_EVENTS.JOB_CANCELLED, {job: job.id});
    this.#stopAll(job, 'cancelled');
  }

  /** Removes a run and applies its result to its task, gang, job and minion. */
  finishRun(run: Run, outcome: RunOutcome, checkpoint: Checkpoint | undefined, now: Instant): void {
    this.#removeRun(run);
    const minion = this.minions.get(run.minion);
    this.events.record(SCHEDULING_EVENTS.RUN_ENDED, {
      ...describeRun(run),
      confirmMs: Math.round((run.confirmedAt ?? now) - run.sentAt),
      ms: Math.round(now - run.sentAt),
      outcome,
      reportAgeMs: Math.round(now - (minion?.lastAnswerAt ?? now)),
    });
    this.applyResult(run.step, run.task, run.number, outcome, checkpoint ?? run.checkpoint);
    if (outcome === 'done') {
      run.step.doneAt = now;
      run.step.job.activeAt = now;
      recordSuccess(this, minion, run);
    } else if (outcome === 'failed') {
      recordFailure(this, minion, run, now);
    }
  }

  /**
   * Removes runs of a silent minion whose lease has expired, all by default; their results are not
   * known yet.
   */
  expireLease(minion: MinionState, runs = minion.listUnresolvedRuns()): void {
    const expired = new Set(runs);
    minion.lapsedRuns = minion
      .listExposedRuns(this.runNumberBase)
      .filter(({run}) => expired.has(run) || !minion.runs.has(run));
    for (const run of expired) {
      this.recordUnknownResult(run.step, run.task.index, run.number, minion);
      this.recordLostRun(run, 'hold lapsed');
    }
  }

  /** Logs the runs that were adopted from one listing or silent record of a minion. */
  recordAdoption(minion: MinionState, runs: readonly Run[]): void {
    for (const fields of describeRuns(minion.id, runs)) {
      this.events.record(SCHEDULING_EVENTS.RUNS_ADOPTED, fields);
    }
  }

  /** Records that a run may have failed on a minion that can still report its result. */
  recordUnknownResult(
    step: StepState,
    index: number,
    number: RunNumber,
    minion: MinionState,
  ): void {
    step.recordUnknownResult(index, number, minion.id);
    minion.unknownResultSteps.add(step);
  }

  /** Called when the minion has reported its results or can no longer report them. */
  clearUnknownResults(minion: MinionState): void {
    for (const step of minion.unknownResultSteps) {
      step.clearUnknownResults(minion.id);
    }
    minion.unknownResultSteps.clear();
  }

  /** Removes a run without a reported result, as its lease expired or its minion restarted. */
  recordLostRun(run: Run, reason: string): void {
    this.#removeRun(run);
    this.events.record(SCHEDULING_EVENTS.RUN_LOST, {...describeRun(run), reason});
    this.#saveCheckpoint(run.step, run.task.index, run.checkpoint);
    this.#breakGang(run.step, run.number);
  }

  /** Applies the result of a run to its task, whether or not the run is known. */
  applyResult(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    outcome: RunOutcome,
    checkpoint: Checkpoint | undefined,
  ): void {
    step.recordRunNumber(task.index, number);
    step.job.hasBegun = true;
    if (outcome === 'done') {
      this.#applySuccess(step, task.index);
      return;
    }
    this.#saveCheckpoint(step, task.index, checkpoint);
    if (outcome === 'failed') {
      this.#applyFailure(step, task.index, number);
    }
    this.#breakGang(step, number);
  }

  /** Returns the settings of a job's queue; those that the job keeps where the queue is not configured. */
  resolveQueuePolicy(job: JobState): Omit<QueuePolicy, 'id'> {
    const {queue, queuePolicy, service} = job.request;
    const {maxAttempts} = queuePolicy ?? DEFAULT_QUEUE_POLICY;
    return (
      this.queues.get(queue) ?? {
        ...DEFAULT_QUEUE_POLICY,
        advice: job.keptAdvice,
        maxAttempts: job.formerMaxAttempts ?? maxAttempts,
        service,
      }
    );
  }

  /** Adds a run that is about to be sent to its minion. */
  startRun(
    step: StepState,
    index: number,
    minion: MinionState,
    now: Instant,
    number?: RunNumber,
  ): Run {
    const task = {index, job: step.job.id, occurrence: step.occurrence, step: step.number};
    const chosen = number ?? step.nextRunNumber(index, this.runNumberBase);
    const run = this.#addRun(step, task, chosen, minion, now);
    run.checkpoint = step.findCheckpoint(index);
    this.plannedStarts += 1;
    step.placedAt = now;
    step.job.activeAt = now;
    this.events.record(SCHEDULING_EVENTS.RUN_PLACED, {
      ...describeRun(run),
      reportAgeMs: Math.round(now - (minion.lastAnswerAt ?? now)),
      spareCpuMilli: minion.spareCpuMilli,
      waitedMs: Math.round(now - (step.readyAt ?? now)),
    });
    return run;
  }

  /** Requests the stop of a run, which keeps its resources reserved until its result is known. */
  stopRun(run: Run, reason: StopReason): void {
    if (run.phase === 'stopping' || this.minions.get(run.minion)?.endedRuns.has(run) === true) {
      return;
    }
    run.phase = 'stopping';
    this.events.record(SCHEDULING_EVENTS.RUN_STOPPED, {...describeRun(run), reason});
    this.pendingStops.push({minion: run.minion, number: run.number, reason, task: run.task});
  }

  /** Removes a run that was added but not sent. */
  discardRun(run: Run): void {
    this.#removeRun(run);
  }

  #addRun(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    minion: MinionState,
    now: Instant,
  ): Run {
    const run = createRun(step, task, number, minion.id, now);
    step.addRun(run);
    step.recordRunNumber(task.index, number);
    minion.addRun(run);
    const isFirst = step.job.recordStart();
    if (step.begun.add(task.index) || isFirst) {
      this.dirtyJobs.add(step.job);
    }
    return run;
  }

  finishJob(job: JobState, status: 'completed' | 'failed'): void {
    job.status = status;
    this.jobs.recordEnd(job);
    this.dirtyJobs.add(job);
    const kind = status === 'completed' ? 'JOB_COMPLETED' : 'JOB_FAILED';
    this.events.record(SCHEDULING_EVENTS[kind], {job: job.id});
    this.#stopAll(job, 'job-over');
  }

  #applySuccess(step: StepState, index: number): void {
    // One completed run of a gang completes all tasks of the gang.
    const indexes = step.shape.gang
      ? Array.from({length: step.shape.count}, (_, at) => at)
      : [index];
    const isNew = indexes.map((each) => step.markDone(each)).includes(true);
    if (!isNew) {
      return;
    }
    this.dirtyJobs.add(step.job);
    for (const run of indexes.flatMap((each) => step.runsOf(each))) {
      this.stopRun(run, 'duplicate');
    }
    if (!step.job.isFinal && step.job.isDone()) {
      this.finishJob(step.job, 'completed');
    }
  }

  #applyFailure(step: StepState, index: number, number: RunNumber): void {
    const isNew = !step.done.has(index) && step.markFailed(index, number);
    if (!isNew) {
      return;
    }
    this.dirtyJobs.add(step.job);
    const failures = step.failures.get(index)?.length ?? 0;
    const hasExhaustedAttempts =
      !step.shape.longRunning && failures >= this.resolveQueuePolicy(step.job).maxAttempts;
    if (hasExhaustedAttempts && !step.job.isFinal) {
      this.finishJob(step.job, 'failed');
    }
  }

  /** Stops the members of a gang of which a run is over; those that were started after it do not need it. */
  #breakGang(step: StepState, number: RunNumber): void {
    const needing = step.shape.gang ? [...step.runs()].filter((run) => run.number <= number) : [];
    for (const run of needing) {
      this.stopRun(run, 'gang-broken');
    }
  }

  #removeRun(run: Run): void {
    run.step.removeRun(run);
    this.minions.get(run.minion)?.removeRun(run);
  }

  /** Keeps the checkpoint of a run that is over; its minion doesn't list it any more. */
  #saveCheckpoint(step: StepState, index: number, checkpoint: Checkpoint | undefined): void {
    const isNew = checkpoint !== undefined && checkpoint !== step.findCheckpoint(index);
    const isOver = step.done.has(index) || step.job.isFinal;
    if (isNew && !isOver && step.shape.checkpoints) {
      step.saveCheckpoint(index, checkpoint);
      this.dirtyJobs.add(step.job);
    }
  }

  #stopAll(job: JobState, reason: StopReason): void {
    for (const step of job.steps()) {
      this.#stopStep(step, reason);
    }
  }

  #stopStep(step: StepState, reason: StopReason): void {
    for (const run of step.runs()) {
      this.stopRun(run, reason);
    }
  }
}
