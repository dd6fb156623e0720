/** Recent crashes of minions and the tasks that were blamed for them. */

import type {JobId} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {MinionOutage} from './CrashAttribution.ts';

import {isSimultaneous} from './CrashAttribution.ts';

/** Time in milliseconds for which a crash may still be seen to be one of several. */
const KEPT_MS = 15_000;
/**
 * Longest time between two crashes of a minion, as a multiple of the time for which a run was live, so
 * that the crash under the run is no surprise.
 */
const MAX_SPACING_RATIO = 30;

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

export class OutageLog {
  #outages: readonly RecordedOutage[] = [];

  add(outage: RecordedOutage): void {
    this.#outages = [...this.#outages.filter(({until}) => outage.until - until < KEPT_MS), outage];
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
      (other) => other.minion !== outage.minion && isSimultaneous(other, outage),
    );
  }

  #listFormer({address, until}: RecordedOutage): readonly RecordedOutage[] {
    return this.#outages.filter(
      (former) => former.address === address && until - former.until < KEPT_MS,
    );
  }
}
