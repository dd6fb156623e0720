/** Recent crashes of minions and the tasks that were blamed for them. */

import type {Run} from '@nutmegproxy/jobs';

import type {MinionOutage} from './CrashAttribution.ts';

import {isSimultaneous} from './CrashAttribution.ts';

/** Time in milliseconds for which a crash may still be seen to be one of several. */
const KEPT_MS = 15_000;

export interface RecordedOutage extends MinionOutage {
  /** Runs that were blamed. */
  readonly blamed: readonly Run[];
}

export class OutageLog {
  #outages: readonly RecordedOutage[] = [];

  add(outage: RecordedOutage): void {
    this.#outages = [...this.#outages.filter(({until}) => outage.until - until < KEPT_MS), outage];
  }

  /** Returns the outages of other minions that may have been at the same time. */
  findSimultaneous(outage: Omit<MinionOutage, 'hasSuspects'>): readonly RecordedOutage[] {
    return this.#outages.filter(
      (other) => other.minion !== outage.minion && isSimultaneous(other, outage),
    );
  }
}
