/** Recent crashes of minions and the tasks that were blamed for them. */

import type {Instant, JobId} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {MinionOutage} from './CrashAttribution.ts';

import {isSimultaneous} from './CrashAttribution.ts';
import {judgeTask} from './CrashVerdict.ts';

/** Time in milliseconds for which a crash may still be seen to be one of several. */
const KEPT_MS = 15_000;
/** Time in milliseconds over which crashes are counted, and the least, as an owner has seen none before. */
const RATE_SPAN_MS = 60_000;
const MIN_RATE_SPAN_MS = 30_000;
/**
 * Longest time between two crashes of a minion, as a multiple of the time for which a run was live, so
 * that the crash under the run is no surprise.
 */
const MAX_SPACING_RATIO = 30;

/** A task whose crashes may be due to chance. */
export interface ExposedTask {
  readonly index: number;
  readonly step: StepState;
}

/** How often minions crash, in crashes for each millisecond. */
export interface CrashRates {
  /** Times at which one minion or several of the fleet crash. */
  readonly perFleet: number;
  readonly perMinion: number;
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
  #firstAt: Instant | undefined;
  #outages: readonly RecordedOutage[] = [];

  add(outage: RecordedOutage): void {
    this.#firstAt ??= outage.until;
    const kept = this.#outages.filter(({until}) => outage.until - until < RATE_SPAN_MS);
    this.#outages = [...kept, outage];
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
   * Returns how often minions crash without a young run of a task or its job. Crashes under trials tell of suspects
   * rather than of machines, and several suspects may crash their minions together: times at which machines failed
   * together are those at which a minion without suspects did. One crash more is counted than was seen, as more may follow.
   *
   * @example
   * outages.measureRates({index, step}, fleet.minions.size, now); // {perFleet: 3.3e-5, perMinion: 4e-6}
   */
  measureRates({index, step}: ExposedTask, minions: number, now: Instant): CrashRates {
    const recent = this.#outages.filter(({until}) => now - until < RATE_SPAN_MS);
    const isOwn = ({blamed, suspectJobs}: RecordedOutage): boolean =>
      suspectJobs.has(step.job.id) ||
      blamed.some(({run}) => run.step === step && run.task.index === index);
    const own = recent.filter(isOwn);
    const others = recent.filter(
      (outage) => outage.suspectJobs.size === 0 && !isOwn(outage) && !isUnderSuspects(outage),
    );
    const machines = others
      .filter((outage) => !own.some((each) => isSimultaneous(each, outage)))
      .sort((a, b) => a.until - b.until);
    const times = machines.filter((other, number) => {
      const former = machines[number - 1];
      return former === undefined || !isSimultaneous(former, other);
    });
    const seen = others.reduce((sum, {cleanMinions}) => sum + 1 / Math.max(1, cleanMinions), 0);
    const watchedMs = now - (this.#firstAt ?? now);
    const spanMs = Math.min(RATE_SPAN_MS, Math.max(MIN_RATE_SPAN_MS, watchedMs));
    return {
      perFleet: (times.length + 1) / spanMs,
      perMinion: (seen + 1 / Math.max(1, minions)) / spanMs,
    };
  }

  #listFormer({address, until}: RecordedOutage): readonly RecordedOutage[] {
    return this.#outages.filter(
      (former) => former.address === address && until - former.until < KEPT_MS,
    );
  }
}
