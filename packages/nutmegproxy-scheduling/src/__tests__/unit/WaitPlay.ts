/** Plays drawn faults of minions, failing jobs and changes of the owner, and measures how long jobs wait beside free room. */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, Run, StepState} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

import type {MinionState} from '../../MinionState.ts';
import type {DrawnFault, DrawnPlay, MeasuredWait} from './WaitSamples.ts';

import {findUnavailability} from '../../MinionAvailability.ts';
import {describeDistrust, receiveDistrust, reviewFormerDistrust} from '../../MinionQuarantine.ts';
import {PendingTaskJudge} from '../../PendingTaskReason.ts';
import {meetsConstraints} from '../../Placement.ts';
import {RunProgressMonitor} from '../../RunProgressMonitor.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';
import {checkStart, copyJob, findLastEvent, listWaiting} from './WaitSamples.ts';

const TICK_MS = 100;
/** Numbers of the runs of an owner begin above those of the one before. */
const RUNS_OF_OWNER = 1_000;
/** Share of the processors that may be in use while a wait counts, as the users specify. */
const MAX_USED_SHARE = 0.5;
/** Time after the last event from which a job counts as lost of which nothing runs, as the users specify. */
const FINISH_MS = 14_000;
/** How many times over there has to be room, as the users specify. */
const ROOM_RATIO = 2;

class WaitPlay {
  readonly #drawn: DrawnPlay;
  readonly #jobs: JobState[] = [];
  readonly #monitors = new WeakMap<SampleFleet, RunProgressMonitor>();
  #owners = 0;
  #recoveredAtMs = 0;
  #sample: SampleFleet;
  readonly #waits = new Map<string, {readonly fromMs: number; readonly reasons: Set<string>}>();

  constructor(drawn: DrawnPlay) {
    this.#drawn = drawn;
    this.#sample = this.#createSample();
  }

  /** Returns the longest wait of each job from `sinceMs` until some time after the last event. */
  play(forMs: number, sinceMs: number): readonly MeasuredWait[] {
    const lastEventMs = findLastEvent(this.#drawn);
    const longest = new Map<number, MeasuredWait>();
    for (let now = 0; now <= lastEventMs + forMs; now += TICK_MS) {
      this.#takeOver(now);
      this.#addJobs(now);
      this.#start(now);
      this.#list(now);
      for (const wait of this.#measure(now, sinceMs)) {
        const known = longest.get(wait.job);
        const longer = wait.waitedMs > (known?.waitedMs ?? 0) ? wait : known;
        if (longer !== undefined) {
          longest.set(wait.job, {...longer, lateMs: Math.max(wait.lateMs, known?.lateMs ?? 0)});
        }
      }
    }
    return [...longest.values()];
  }

  #createSample(): SampleFleet {
    const sample = new SampleFleet(
      0,
      [2, 3, 4].map((maxAttempts) => queue(`attempts-${maxAttempts}`, {maxAttempts})),
    );
    for (let number = 0; number < this.#drawn.minions; number += 1) {
      sample.addMinion(`m${number}`, {labels: number < 2 ? ['few'] : ['many']});
    }
    return sample;
  }

  #addJobs(now: number): void {
    for (const {acceptedAtMs, attempts, change} of this.#drawn.jobs.slice(this.#jobs.length)) {
      if (acceptedAtMs > now) {
        return;
      }
      this.#jobs.push(this.#sample.addJob(`attempts-${attempts}`, [shape(change)], acceptedAtMs));
    }
  }

  /** A new owner knows what is stored and what minions list, and no other beliefs of the former one. */
  #takeOver(now: number): void {
    const {fleet} = this.#sample;
    fleet.recoveryRevision = now < this.#recoveredAtMs ? Infinity : 0;
    const takeover = this.#drawn.takeovers.find(({atMs}) => atMs === now);
    if (takeover === undefined) {
      return;
    }
    const former = this.#jobs.splice(0);
    const {minions} = this.#sample.fleet;
    this.#sample = this.#createSample();
    const next = this.#sample;
    this.#owners += 1;
    this.#recoveredAtMs = now + takeover.recoveryMs;
    next.fleet.runNumberBase = this.#owners * RUNS_OF_OWNER;
    next.fleet.formerReleasedAt = at(now);
    next.fleet.recoveryRevision = now < this.#recoveredAtMs ? Infinity : 0;
    for (const job of former) {
      const {acceptedAt, queue: queueId, steps} = job.request;
      const known = next.addJob(queueId, steps, acceptedAt, job.status);
      this.#jobs.push(known);
      copyJob(job, known, next, at(now));
    }
    for (const minion of next.fleet.minions.values()) {
      const known = minions.get(minion.id);
      const snapshot = known && describeDistrust(known, at(now));
      if (snapshot !== undefined && this.#drawn.forgetsTrust !== true) {
        receiveDistrust(next.fleet, minion, snapshot, at(now));
      }
    }
    // Minions report before they get work.
    for (const minion of next.fleet.minions.values()) {
      reviewFormerDistrust(next.fleet, minion, at(now));
    }
  }

  #start(now: number): void {
    for (const run of this.#sample.plan(now)) {
      checkStart(run, this.#sample);
      run.phase = 'running';
      run.confirmedAt = at(now);
      run.knownFrom = 'listing';
    }
  }

  #findFault(minion: MinionState, now: number): DrawnFault | undefined {
    return this.#drawn.faults.find(
      ({atMs, durationMs, minion: number}) =>
        minion.id === `m${number}` && now >= atMs && now < atMs + durationMs,
    );
  }

  #findOutcome(
    run: Run,
    minion: MinionState,
    now: number,
  ): 'done' | 'failed' | 'stopped' | undefined {
    const {longRunning} = run.step.shape;
    const drawn = this.#drawn.jobs[this.#jobs.indexOf(run.step.job)];
    const ageMs = now - run.sentAt;
    if (run.phase === 'stopping') {
      return 'stopped';
    }
    const fault = this.#findFault(minion, now);
    const failsAfterMs = Math.min(drawn?.failsAfterMs ?? Infinity, fault?.failsAfterMs ?? Infinity);
    if (ageMs > 0 && ageMs >= failsAfterMs) {
      return 'failed';
    }
    const stands = fault !== undefined && fault.failsAfterMs === undefined;
    run.percent = stands
      ? run.percent
      : Math.min(longRunning ? 100 : 99, run.percent + (100 * TICK_MS) / (drawn?.runMs ?? TICK_MS));
    return !longRunning && run.percent >= 99 && !stands ? 'done' : undefined;
  }

  #list(now: number): void {
    const {estimator, fleet} = this.#sample;
    const monitor =
      this.#monitors.get(this.#sample) ??
      new RunProgressMonitor(estimator, DEFAULT_PLATFORM_BOUNDS);
    this.#monitors.set(this.#sample, monitor);
    for (const minion of fleet.minions.values()) {
      for (const run of [...minion.runs]) {
        const outcome = this.#findOutcome(run, minion, now);
        if (outcome !== undefined && minion.runs.has(run)) {
          fleet.finishRun(run, outcome, undefined, at(now));
        }
      }
      reviewFormerDistrust(fleet, minion, at(now));
      monitor.checkProgress(fleet, minion, at(now));
    }
    fleet.pendingStops.length = 0;
  }

  #measure(now: number, sinceMs: number): readonly MeasuredWait[] {
    const waiting = now < sinceMs ? [] : this.#jobs.flatMap((job) => listWaiting(job));
    const names = new Set<string>();
    const measured: MeasuredWait[] = [];
    for (const {index, step} of waiting.filter(({step: each}) => this.#hasRoom(each))) {
      const job = this.#jobs.indexOf(step.job);
      const name = step.shape.longRunning ? `${job}.${index}` : `${job}`;
      const wait = this.#waits.get(name) ?? {fromMs: now, reasons: new Set<string>()};
      names.add(name);
      this.#waits.set(name, wait);
      wait.reasons.add(this.#findReason(step, index, at(now)));
      measured.push({
        fromMs: wait.fromMs,
        job,
        lateMs: Math.max(0, now - Math.max(wait.fromMs, sinceMs + FINISH_MS)),
        reasons: [...wait.reasons],
        waitedMs: now - wait.fromMs,
      });
    }
    for (const name of this.#waits.keys()) {
      if (!names.has(name)) {
        this.#waits.delete(name);
      }
    }
    return measured;
  }

  #hasRoom(step: StepState): boolean {
    const {cpuMilli} = step.shape.resources;
    let capacityMilli = 0;
    let usedMilli = 0;
    let places = 0;
    for (const minion of this.#sample.fleet.minions.values()) {
      const {description, reserved} = minion;
      capacityMilli += description.capacity.cpuMilli;
      usedMilli += reserved.cpuMilli;
      if (meetsConstraints(step, minion)) {
        const free = Math.floor((description.capacity.cpuMilli - reserved.cpuMilli) / cpuMilli);
        places += Math.min(free, step.shape.maxPerMinion ?? Infinity);
      }
    }
    const needed = step.shape.gang ? step.shape.count : 1;
    return usedMilli < capacityMilli * MAX_USED_SHARE && places >= needed * ROOM_RATIO;
  }

  #findReason(step: StepState, index: number, now: Instant): string {
    const {fleet} = this.#sample;
    const judge = new PendingTaskJudge({
      advice: {isPermitted: () => undefined},
      fleet,
      hold: undefined,
      isBudgetUsedUp: false,
      isCut: false,
      now,
      recoveryMs: 0,
      sharingCosts: NO_SHARING_COSTS,
    });
    const {minion, reason} = judge.findCause({index, step});
    const state = minion && fleet.minions.get(minion);
    return `${reason}${state === undefined ? '' : `:${findUnavailability(state, now) ?? ''}`}`;
  }
}

/**
 * Returns the longest wait of each job from `sinceMs`, by default from the last event of the play.
 *
 * @example
 * measureWaits({faults: [], jobs, minions: 3, takeovers: []}, 30_000);
 */
export function measureWaits(
  drawn: DrawnPlay,
  forMs: number,
  sinceMs = findLastEvent(drawn),
): readonly MeasuredWait[] {
  return new WaitPlay(drawn).play(forMs, sinceMs);
}
