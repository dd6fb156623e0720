/**
 * Asks the platform which minions are gone. A minion is one life of a machine: once its machine runs
 * another one or none, nothing runs on it, whatever leases it was granted and whichever owner granted
 * them. So a task of a minion that left around a takeover need not wait for the longest lease.
 *
 * A minion that was only cut off stays on its machine, and its leases decide.
 */

import type {Clock, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {Fleet, MachineId, MinionState} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {hasStoredTrial} from '@nutmegproxy/scheduling';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {MachineList, MachineOccupants} from './MachineList.ts';

import {
  MACHINE_REVIEW_INTERVAL_MS,
  MACHINE_REVIEW_MAX_INTERVAL_MS,
  MACHINE_SIGHTINGS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface MachineReviewOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  /** Undefined where the platform has no such list. */
  readonly machines: MachineList | undefined;
  /** Called once it is certain that no run that the minion confirmed is live. */
  readonly onGone: (minion: MinionState) => void;
  readonly ownership: FleetOwnership;
}

/** A minion that may have runs and does not respond, and its machine. */
interface AbsentMinion {
  readonly machine: MachineId;
  readonly minion: MinionState;
}

/**
 * @example
 * const review = new MachineReview({clock, events, fleet, machines, onGone, ownership});
 * void review.run(() => isActing);
 */
export class MachineReview {
  readonly #options: MachineReviewOptions;
  #pauseMs = MACHINE_REVIEW_INTERVAL_MS;
  /** How many consecutive lists did not show the minion on its machine. */
  readonly #sightings = new Map<MinionId, number>();

  constructor(options: MachineReviewOptions) {
    this.#options = options;
  }

  /** Reviews the absent minions while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    const {clock, events, machines} = this.#options;
    while (machines !== undefined && isActing()) {
      const absent = this.#listAbsent();
      this.#forgetPresent(absent);
      if (absent.length > 0) {
        const requestedAt = clock.monotonic();
        const listed = await machines.list();
        if (listed.isOk() && isActing()) {
          this.#apply(absent, listed.value, requestedAt);
        } else if (listed.isErr()) {
          const {message} = listed.error;
          events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'machines'});
        }
      }
      await delay(this.#pauseMs);
      this.#pauseMs = Math.min(this.#pauseMs * 2, MACHINE_REVIEW_MAX_INTERVAL_MS);
    }
  }

  #apply(absent: readonly AbsentMinion[], occupants: MachineOccupants, requestedAt: Instant): void {
    const {clock, events, fleet, onGone} = this.#options;
    for (const {machine, minion} of absent) {
      const occupant = occupants.get(machine);
      if (occupant === minion.id || !isAbsent(fleet, minion)) {
        this.#sightings.delete(minion.id);
        continue;
      }
      const sightings = (this.#sightings.get(minion.id) ?? 0) + 1;
      this.#sightings.set(minion.id, sightings);
      if (sightings !== MACHINE_SIGHTINGS) {
        continue;
      }
      events.record(OWNER_EVENTS.MINION_GONE, {
        ageMs: Math.round(clock.monotonic() - requestedAt),
        draining: isLeaving(minion),
        listed: occupants.has(machine),
        machine,
        minion: minion.id,
        occupant,
        runs: minion.runs.size,
      });
      onGone(minion);
    }
  }

  /** Starts anew with the shortest pause when another minion is absent. */
  #forgetPresent(absent: readonly AbsentMinion[]): void {
    const ids = new Set(absent.map(({minion}) => minion.id));
    for (const id of this.#sightings.keys()) {
      if (!ids.has(id)) {
        this.#sightings.delete(id);
      }
    }
    if (absent.length === 0 || absent.some(({minion}) => !this.#sightings.has(minion.id))) {
      this.#pauseMs = MACHINE_REVIEW_INTERVAL_MS;
    }
    for (const {minion} of absent) {
      this.#sightings.set(minion.id, this.#sightings.get(minion.id) ?? 0);
    }
  }

  /** Lists none while the ownership is not proved: another owner may have newer knowledge. */
  #listAbsent(): AbsentMinion[] {
    const {clock, fleet, ownership} = this.#options;
    const now = clock.monotonic();
    if (ownership.state(now, clock.wall()) !== 'proved') {
      return [];
    }
    return [...fleet.minions.values()].flatMap((minion) => {
      const {machine} = minion.description;
      return machine !== undefined && isAbsent(fleet, minion) && !minion.leaseClock.isExpired(now)
        ? [{machine, minion}]
        : [];
    });
  }
}

/**
 * Whether a minion that does not respond may have runs. One that does not drain and has responded to this
 * owner, or is named by a trial, has crashed, which is judged when it is back or its lease has expired.
 */
function isAbsent(fleet: Fleet, minion: MinionState): boolean {
  const {areRunsKnown, formerSuspects, hasReported, missedCalls, runs, unlistedSince} = minion;
  const isSilent = missedCalls > 0 || unlistedSince !== undefined;
  const mayHaveRuns = runs.size > 0 || !areRunsKnown;
  if (!isSilent || !mayHaveRuns || formerSuspects !== undefined) {
    return false;
  }
  return isLeaving(minion) || (!hasReported && !hasStoredTrial(fleet, minion));
}

function isLeaving({description, isRecordedDraining}: MinionState): boolean {
  return description.isDraining || isRecordedDraining;
}
