/** Since when services have had free room, as planning and its reviews saw it. */

import type {Instant} from '@nutmegproxy/core';
import type {ServiceId} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Share of a service's processors in use from which its work waits for room, as the users specify. */
const FULL_SHARE = 0.5;

/** Returns the services of which so few processors are in use that their work does not wait for room. */
function findFreeServices(minions: Iterable<MinionState>): ReadonlySet<ServiceId> {
  const unused = new Map<ServiceId, number>();
  for (const {description, reserved} of minions) {
    const {capacity, service} = description;
    const ofMinion = capacity.cpuMilli * FULL_SHARE - reserved.cpuMilli;
    unused.set(service, (unused.get(service) ?? 0) + ofMinion);
  }
  return new Set([...unused].flatMap(([service, milli]) => (milli > 0 ? [service] : [])));
}

/**
 * @example
 * room.observe(fleet, now); // in each round of planning
 * room.findSince(service); // undefined while it has none
 */
export class FreeRoom {
  /** Services that have had it since the recovery; undefined before. */
  #sinceRecovery: Set<ServiceId> | undefined;
  readonly #since = new Map<ServiceId, Instant>();

  observe({minions, recoveryRevision}: Fleet, now: Instant): void {
    const free = findFreeServices(minions.values());
    // Until the runs of all minions are known, room may look free that is not.
    if (recoveryRevision === 0) {
      this.#sinceRecovery = new Set(
        [...(this.#sinceRecovery ?? free)].filter((service) => free.has(service)),
      );
    }
    for (const service of this.#since.keys()) {
      if (!free.has(service)) {
        this.#since.delete(service);
      }
    }
    for (const service of free) {
      this.#since.set(service, this.#since.get(service) ?? now);
    }
  }

  /** Whether a service has had free room ever since this owner knew, so that it may have had it under the former one. */
  isFreeSinceRecovery(service: ServiceId): boolean {
    return this.#sinceRecovery?.has(service) ?? false;
  }

  findSince(service: ServiceId): Instant | undefined {
    return this.#since.get(service);
  }
}
