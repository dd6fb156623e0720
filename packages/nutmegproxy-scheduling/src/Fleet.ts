/** The owner's books: jobs, minions and the runs between them. Every change of a run goes through here. */

import type {EventSink, Instant, JobId, MinionId} from '@nutmegproxy/core';
import type {
  Checkpoint,
  JobState,
  QueueId,
  Run,
  RunNumber,
  RunOutcome,
  StepState,
  TaskRef,
} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';
import type {QueuePolicy} from './QueuePolicy.ts';
import type {StopOrder, StopReason} from './StopOrder.ts';

import {RETIRED_QUEUE} from './QueuePolicy.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {describeRun} from './StopOrder.ts';

export class Fleet {
  /** When late runs were last looked for. */
  copiesPlannedAt = -Infinity;
  /** Jobs whose progress has to be written to the store. */
  readonly dirtyJobs = new Set<JobState>();
  readonly jobs = new Map<JobId, JobState>();
  readonly minions = new Map<MinionId, MinionState>();
  readonly queues = new Map<QueueId, QueuePolicy>();
  /** Jobs accepted up to this revision may have runs on minions that have not reported yet. */
  recoveryRevision = 0;
  /** Lowest run number that this owner may use for a task it knows no run of. */
  runNumberBase = 1;
  /** Stops that wait to be sent. */
  readonly stops: StopOrder[] = [];
  readonly #events: EventSink;

  constructor(events: EventSink) {
    this.#events = events;
  }

  /** Books a run that a minion listed and this owner did not start. */
  adoptRun(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    minion: MinionState,
    now: Instant,
  ): Run {
    const run = this.#bookRun(step, task, number, minion, now);
    run.phase = 'running';
    run.confirmedAt = now;
    this.#events.record(SCHEDULING_EVENTS.RUN_ADOPTED, describeRun(run));
    return run;
  }

  cancelJob(job: JobState): void {
    if (job.isFinal) {
      return;
    }
    job.status = 'cancelled';
    this.dirtyJobs.add(job);
    this.#events.record(SCHEDULING_EVENTS.JOB_CANCELLED, {job: job.id});
    this.#stopAll(job, 'cancelled');
  }

  /** Quarantines a minion that stalls what it starts. */
  distrust(minion: MinionState, reason: string, now: Instant): void {
    if (minion.trust.noteStall(now)) {
      this.#events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: minion.id, reason});
    }
  }

  /** Notes how a run of the books ended and what follows for its task, gang and job. */
  endRun(run: Run, outcome: RunOutcome, checkpoint: Checkpoint | undefined, now: Instant): void {
    this.#release(run);
    this.#events.record(SCHEDULING_EVENTS.RUN_ENDED, {
      ...describeRun(run),
      ms: Math.round(now - run.sentAt),
      outcome,
    });
    this.noteEnd(run.step, run.task, run.number, outcome, checkpoint ?? run.checkpoint);
    const minion = this.minions.get(run.minion);
    if (outcome === 'done' && minion?.trust.noteSuccess()) {
      this.#events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: run.minion});
    }
    if (outcome === 'failed') {
      // Long-running tasks may fail at any time and start again in the room that they had.
      if (!run.step.shape.longRunning) {
        run.step.avoid(run.task.index, run.minion);
      }
      if (minion?.trust.noteFailure(run.task.job, now)) {
        this.#events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {
          minion: run.minion,
          reason: 'failures',
        });
      }
    }
  }

  /** The holds on a silent minion have lapsed: its runs are over, and their ends not known yet. */
  lapse(minion: MinionState): void {
    for (const run of [...minion.runs]) {
      this.noteUncertain(run.step, run.task.index, minion);
      this.loseRun(run, 'hold lapsed');
    }
  }

  /** A run may have failed on a minion that can still tell. */
  noteUncertain(step: StepState, index: number, minion: MinionState): void {
    step.recordUnknownResult(index, minion.id);
    minion.uncertainSteps.add(step);
  }

  /** The minion has told its ends, or never will. */
  settleEnds(minion: MinionState): void {
    for (const step of minion.uncertainSteps) {
      step.clearUnknownResults(minion.id);
    }
    minion.uncertainSteps.clear();
  }

  /** A run is over without a listed end: its hold lapsed or its minion restarted. */
  loseRun(run: Run, reason: string): void {
    this.#release(run);
    this.#events.record(SCHEDULING_EVENTS.RUN_LOST, {...describeRun(run), reason});
    if (run.checkpoint !== undefined && run.step.shape.checkpoints) {
      run.step.checkpoints.set(run.task.index, run.checkpoint);
    }
    if (run.step.shape.gang) {
      this.#stopStep(run.step, 'gang-broken');
    }
  }

  /** Applies an end to its task, whether or not the run is in the books. */
  noteEnd(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    outcome: RunOutcome,
    checkpoint: Checkpoint | undefined,
  ): void {
    step.recordRunNumber(task.index, number);
    if (outcome === 'done') {
      this.#noteDone(step, task.index);
      return;
    }
    if (checkpoint !== undefined && !step.done.has(task.index) && step.shape.checkpoints) {
      step.checkpoints.set(task.index, checkpoint);
    }
    if (outcome === 'failed') {
      this.#noteFailed(step, task.index, number);
    }
    if (step.shape.gang) {
      this.#stopStep(step, 'gang-broken');
    }
  }

  policy(job: JobState): Omit<QueuePolicy, 'id'> {
    return (
      this.queues.get(job.request.queue) ?? {
        ...RETIRED_QUEUE,
        advice: undefined,
        service: job.request.service,
      }
    );
  }

  /** Books a run that is about to be started. */
  startRun(
    step: StepState,
    index: number,
    minion: MinionState,
    now: Instant,
    number?: RunNumber,
  ): Run {
    const task = {index, job: step.job.id, occurrence: step.occurrence, step: step.number};
    const chosen = number ?? step.nextRunNumber(index, this.runNumberBase);
    const run = this.#bookRun(step, task, chosen, minion, now);
    run.checkpoint = step.checkpoints.get(index);
    step.placedAt = now;
    this.#events.record(SCHEDULING_EVENTS.RUN_PLACED, {
      ...describeRun(run),
      reportAgeMs: Math.round(now - (minion.lastAnswerAt ?? now)),
      spareCpuMilli: minion.spareCpuMilli,
      waitedMs: Math.round(now - (step.readyAt ?? now)),
    });
    return run;
  }

  /** Orders a run of the books to stop; it keeps its room until its end is known. */
  stopRun(run: Run, reason: StopReason): void {
    if (run.phase === 'stopping') {
      return;
    }
    run.phase = 'stopping';
    this.#events.record(SCHEDULING_EVENTS.RUN_STOPPED, {...describeRun(run), reason});
    this.stops.push({minion: run.minion, number: run.number, reason, task: run.task});
  }

  /** Takes back a run that was booked and not sent. */
  withdrawRun(run: Run): void {
    this.#release(run);
  }

  #bookRun(
    step: StepState,
    task: TaskRef,
    number: RunNumber,
    minion: MinionState,
    now: Instant,
  ): Run {
    const run: Run = {
      checkpoint: undefined,
      confirmedAt: undefined,
      knownFrom: 'order',
      minion: minion.id,
      number,
      paceShare: 100,
      percent: 0,
      phase: 'starting',
      reading: undefined,
      sentAt: now,
      step,
      task,
    };
    step.addRun(run);
    minion.addRun(run);
    if (!step.job.hasStarted) {
      step.job.hasStarted = true;
      if (step.job.status === 'queued') {
        step.job.status = 'running';
      }
      this.dirtyJobs.add(step.job);
    }
    return run;
  }

  #finish(job: JobState, status: 'completed' | 'failed'): void {
    job.status = status;
    this.dirtyJobs.add(job);
    const kind = status === 'completed' ? 'JOB_COMPLETED' : 'JOB_FAILED';
    this.#events.record(SCHEDULING_EVENTS[kind], {job: job.id});
    this.#stopAll(job, 'job-over');
  }

  #noteDone(step: StepState, index: number): void {
    // One end of a gang stands for all of its members.
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
      this.#finish(step.job, 'completed');
    }
  }

  #noteFailed(step: StepState, index: number, number: RunNumber): void {
    const isNew = !step.done.has(index) && step.markFailed(index, number);
    if (!isNew) {
      return;
    }
    this.dirtyJobs.add(step.job);
    const failures = step.failures.get(index)?.length ?? 0;
    const isHopeless = !step.shape.longRunning && failures >= this.policy(step.job).maxAttempts;
    if (isHopeless && !step.job.isFinal) {
      this.#finish(step.job, 'failed');
    }
  }

  #release(run: Run): void {
    run.step.removeRun(run);
    this.minions.get(run.minion)?.removeRun(run);
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
