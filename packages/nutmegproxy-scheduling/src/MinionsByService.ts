/** Minions by their service, such as those that can get new work in one planning round. */

import type {Instant} from '@nutmegproxy/core';
import type {ServiceId} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';

import {isOpenToRuns} from './MinionAvailability.ts';

/**
 * @example
 * const schedulable = new MinionsByService([...fleet.minions.values()].filter((each) => isSchedulable(each, now)));
 * schedulable.of(service);
 */
export class MinionsByService {
  readonly #byService = new Map<ServiceId, MinionState[]>();

  constructor(minions: Iterable<MinionState>) {
    this.add(minions);
  }

  add(minions: Iterable<MinionState>): void {
    for (const minion of minions) {
      const {service} = minion.description;
      const others = this.#byService.get(service);
      if (others === undefined) {
        this.#byService.set(service, [minion]);
      } else {
        others.push(minion);
      }
    }
  }

  /** Whether a minion on trial has no run yet that shows if it is sound. */
  hasOpenTrial(now: Instant): boolean {
    return this.list().some(
      (minion) => minion.trust.level(now) === 'trial' && isOpenToRuns(minion, now),
    );
  }

  list(): readonly MinionState[] {
    return [...this.#byService.values()].flat();
  }

  of(service: ServiceId): readonly MinionState[] {
    return this.#byService.get(service) ?? [];
  }

  /** Removes the minions on which a suspected task runs. */
  removeTrialMinions(): void {
    for (const [service, minions] of this.#byService) {
      this.#byService.set(
        service,
        minions.filter(({trialRun}) => trialRun === undefined),
      );
    }
  }
}
