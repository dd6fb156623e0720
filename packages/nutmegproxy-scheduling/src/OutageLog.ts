/** Recent crashes of minions and the tasks that were blamed for them. */

import type {Instant, JobId} from '@nutmegproxy/core';
import type {CrashRates, Run, StepState} from '@nutmegproxy/jobs';

import type {MinionOutage} from './CrashAttribution.ts';

import {isSimultaneous} from './CrashAttribution.ts';
import {judgeTask} from './CrashVerdict.ts';

/** Time in milliseconds for which a crash may still be seen to be one of several. */
const KEPT_MS = 15_000;
/** Time in milliseconds before and after an instant over which crashes are counted, and for which they are kept. */
const RATE_SPAN_MS = 60_000;
const RATE_KEPT_MS = 180_000;
/** Shortest time in milliseconds over which crashes are counted. */
const MIN_WATCHED_MS = 10_000;
/**
 * Longest time between two crashes of a minion, as a multiple of the time for which a run was live, so
 * that the crash under the run is no surprise.
 */
const MAX_SPACING_RATIO = 30;

/** A task whose crash may be due to chance. */
export interface ExposedTask {
  /** When the crash was recorded. */
  readonly at: Instant;
  readonly index: number;
  readonly step: StepState;
}

/** A run that was blamed for a crash. */
export interface BlamedRun {
  /** Longest time in milliseconds for which the run may have been live before the crash. */
  readonly liveMs: number;
  readonly run: Run;
}

export interface RecordedOutage extends MinionOutage {
  /** Address of the minion, which it may keep under another id. */
  readonly address: string;
  readonly blamed: readonly BlamedRun[];
  /** Number of minions that were up then without a young run, one on trial or one of a task found guilty. */
  readonly cleanMinions: number;
  /** Jobs with a run on the minion. */
  readonly jobs: ReadonlySet<JobId>;
}

/**
 * Returns the runs that are not to blame for a crash, as their minion crashed at another time when no run
 * there could be to blame. Tasks that crash their minion at once are blamed even on such minions.
 */
function listExplainedRuns(crash: RecordedOutage, other: RecordedOutage): readonly Run[] {
  const apartMs = Math.abs(crash.until - other.until);
  return other.blamed.length > 0
    ? []
    : crash.blamed
        .filter(({liveMs}) => apartMs <= liveMs * MAX_SPACING_RATIO)
        .map(({run}) => run)
        .filter(({step: {job}}) => !other.jobs.has(job.id));
}

/** Whether a minion crashed under a run on trial, or under a task found guilty. */
function isUnderSuspects({blamed, hasTrial}: RecordedOutage): boolean {
  return hasTrial || blamed.some(({run: {step, task}}) => judgeTask(step, task.index) === 'guilty');
}

export class OutageLog {
  #clean: {readonly now: Instant; readonly outages: readonly RecordedOutage[]} | undefined;
  #firstAt: Instant | undefined;
  #outages: readonly RecordedOutage[] = [];

  add(outage: RecordedOutage): void {
    this.#firstAt ??= outage.until;
    const kept = this.#outages.filter(({until}) => outage.until - until < RATE_KEPT_MS);
    this.#outages = [...kept, outage];
    this.#clean = undefined;
  }

  /** Returns the runs that are not to blame for a crash, since their minion crashed by itself before. */
  listExplained(crash: RecordedOutage): readonly Run[] {
    return this.#listFormer(crash).flatMap((former) => listExplainedRuns(crash, former));
  }

  /** Returns those of former crashes of a minion that has crashed by itself now. */
  listExplainedBy(crash: RecordedOutage): readonly Run[] {
    return this.#listFormer(crash).flatMap((former) => listExplainedRuns(former, crash));
  }

  /** Returns the outages of other minions that may have been at the same time. */
  findSimultaneous(outage: Omit<MinionOutage, 'suspectJobs'>): readonly RecordedOutage[] {
    return this.#outages.filter(
      (other) =>
        other.minion !== outage.minion &&
        outage.until - other.until < KEPT_MS &&
        isSimultaneous(other, outage),
    );
  }

  /**
   * Returns how often minions crashed around an instant without a young run of a task or its job. Minions with a young
   * run, one on trial or one of a guilty task may tell of suspects, so neither they nor their crashes are counted. One crash a minute is counted beside those seen, as more may follow.
   *
   * @example
   * outages.measureRates({at: now, index, step}, fleet.minions.size, now); // {perFleet: 3.3e-5, perMinion: 4e-6}
   */
  measureRates({at, index, step}: ExposedTask, minions: number, now: Instant): CrashRates {
    const from = Math.max(this.#firstAt ?? now, at - RATE_SPAN_MS);
    const to = Math.min(now, at + RATE_SPAN_MS);
    const isOwn = ({blamed, suspectJobs}: RecordedOutage): boolean =>
      suspectJobs.has(step.job.id) ||
      blamed.some(({run}) => run.step === step && run.task.index === index);
    const recent = this.#outages.filter(({until}) => until >= from && until <= to);
    const own = recent.filter(isOwn);
    const others = this.#listClean(now).filter(
      (outage) => outage.until >= from && outage.until <= to && !isOwn(outage),
    );
    const apart = others.filter((other) => !own.some((each) => isSimultaneous(each, other)));
    const times = apart.filter((other, number) => {
      const former = apart[number - 1];
      return former === undefined || !isSimultaneous(former, other);
    });
    const watchedMs = Math.max(MIN_WATCHED_MS, to - from);
    const seen = others.reduce((sum, {cleanMinions}) => sum + 1 / Math.max(1, cleanMinions), 0);
    return {
      perFleet: times.length / watchedMs + 1 / RATE_SPAN_MS,
      perMinion: seen / watchedMs + 1 / RATE_SPAN_MS / Math.max(1, minions),
    };
  }

  /** Lists the crashes without suspects by their times, once for each instant. */
  #listClean(now: Instant): readonly RecordedOutage[] {
    if (this.#clean?.now !== now) {
      const outages = this.#outages
        .filter((outage) => !isUnderSuspects(outage))
        .sort((a, b) => a.until - b.until);
      this.#clean = {now, outages};
    }
    return this.#clean.outages;
  }

  #listFormer({address, until}: RecordedOutage): readonly RecordedOutage[] {
    return this.#outages.filter(
      (former) => former.address === address && until - former.until < KEPT_MS,
    );
  }
}
