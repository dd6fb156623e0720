/**
 * Asks the platform which minions are gone. A minion is one life of a machine: once its machine runs
 * another one, or has left the platform together with the minion's entry, nothing runs on it, whatever
 * leases it was granted and whichever owner granted them. So a task of a minion that left around a
 * takeover need not wait for the longest lease.
 *
 * A minion that was only cut off stays on its machine, and one whose machine is listed without a minion
 * may start again under its id: their leases decide.
 */

import type {Clock, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {Fleet, MachineId, MinionState} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {MachineList, MachineOccupants} from './MachineList.ts';

import {
  MACHINE_LISTS,
  MACHINE_REVIEW_INTERVAL_MS,
  MAX_REVIEWS_WITHOUT_LIST,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface MachineReviewOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  /** Undefined where the platform has no such list. */
  readonly machines: MachineList | undefined;
  /** Called once it is certain that nothing runs on the minion and that its id does not return. */
  readonly onGone: (minion: MinionState) => void;
  readonly ownership: FleetOwnership;
}

/** A minion that may have runs and does not respond, in the incarnation that was known at the request. */
interface AbsentMinion {
  readonly bornAt: number | undefined;
  readonly machine: MachineId;
  readonly minion: MinionState;
}

/**
 * @example
 * const review = new MachineReview({clock, events, fleet, machines, onGone, ownership});
 * void review.run(() => isActing);
 */
export class MachineReview {
  /** How many lists in a row showed that the minion is gone. */
  readonly #agreeing = new Map<MinionId, number>();
  readonly #options: MachineReviewOptions;
  /** Reviews left without a list, and how many there are after the next one. */
  #pause = {left: 0, next: 0};
  /** Absent minions whose entries were missing at the last review. */
  #unlisted: ReadonlySet<MinionId> = new Set();

  constructor(options: MachineReviewOptions) {
    this.#options = options;
  }

  /** Reviews the absent minions while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    const {clock, events, machines} = this.#options;
    while (machines !== undefined && isActing()) {
      const absent = this.#listAbsent();
      if (this.#isDue(absent)) {
        const requestedAt = clock.monotonic();
        const listed = await machines.list();
        if (listed.isErr()) {
          const {message} = listed.error;
          events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'machines'});
        } else if (isActing()) {
          this.#apply(absent, listed.value, requestedAt);
        }
      }
      await delay(MACHINE_REVIEW_INTERVAL_MS);
    }
  }

  #apply(absent: readonly AbsentMinion[], occupants: MachineOccupants, requestedAt: Instant): void {
    const {clock, events, fleet, onGone} = this.#options;
    const shown = new Set(occupants.values());
    if (!isCredible(fleet, shown)) {
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {
        message: `${shown.size} minions, less than half of those that respond`,
        what: 'machines',
      });
      return;
    }
    for (const {bornAt, machine, minion} of absent) {
      const isSame = minion.bornAt === bornAt && fleet.minions.get(minion.id) === minion;
      const hasAnswered = (minion.lastAnswerAt ?? -Infinity) > requestedAt;
      const isGone = !shown.has(minion.id) && hasNewLife(occupants, machine, minion);
      if (!isSame || hasAnswered || !isAbsent(minion) || !isGone) {
        this.#agreeing.set(minion.id, 0);
        continue;
      }
      const lists = (this.#agreeing.get(minion.id) ?? 0) + 1;
      this.#agreeing.set(minion.id, lists);
      if (lists < MACHINE_LISTS) {
        this.#pause = {left: 0, next: 0};
        continue;
      }
      this.#agreeing.delete(minion.id);
      events.record(OWNER_EVENTS.MINION_GONE, {
        ageMs: Math.round(clock.monotonic() - requestedAt),
        draining: isLeaving(minion),
        listed: occupants.has(machine),
        machine,
        minion: minion.id,
        occupant: occupants.get(machine),
        runs: minion.runs.size,
      });
      onGone(minion);
    }
  }

  /**
   * Whether a list is due. The pauses between lists grow while no list can show anything new: until
   * another minion becomes absent, or the entry of an absent one is removed, so that it may count as gone.
   */
  #isDue(absent: readonly AbsentMinion[]): boolean {
    const ids = new Set(absent.map(({minion}) => minion.id));
    const unlisted = absent
      .filter(({minion}) => minion.unlistedSince !== undefined)
      .map(({minion}) => minion.id);
    const hasLostEntry = unlisted.some((id) => !this.#unlisted.has(id));
    this.#unlisted = new Set(unlisted);
    for (const id of this.#agreeing.keys()) {
      if (!ids.has(id)) {
        this.#agreeing.delete(id);
      }
    }
    if (hasLostEntry || absent.some(({minion}) => !this.#agreeing.has(minion.id))) {
      this.#pause = {left: 0, next: 0};
    }
    for (const id of ids) {
      this.#agreeing.set(id, this.#agreeing.get(id) ?? 0);
    }
    if (absent.length === 0 || this.#pause.left > 0) {
      this.#pause.left -= 1;
      return false;
    }
    const {next} = this.#pause;
    this.#pause = {left: next, next: Math.min(next * 2 + 1, MAX_REVIEWS_WITHOUT_LIST)};
    return true;
  }

  /** Lists none while the ownership is not proved: another owner may have newer knowledge. */
  #listAbsent(): AbsentMinion[] {
    const {clock, fleet, ownership} = this.#options;
    const now = clock.monotonic();
    if (ownership.state(now, clock.wall()) !== 'proved') {
      return [];
    }
    return [...fleet.minions.values()].flatMap((minion) => {
      const {bornAt, description} = minion;
      const {machine} = description;
      return machine !== undefined && isAbsent(minion) && !minion.leaseClock.isExpired(now)
        ? [{bornAt, machine, minion}]
        : [];
    });
  }
}

/** Whether the machine runs another minion, or is gone together with the minion's entry. */
function hasNewLife(
  occupants: MachineOccupants,
  machine: MachineId,
  {unlistedSince}: MinionState,
): boolean {
  return occupants.has(machine)
    ? occupants.get(machine) !== undefined
    : unlistedSince !== undefined;
}

/** Whether a list shows at least half of the minions that respond. */
function isCredible({minions}: Fleet, shown: ReadonlySet<MinionId | undefined>): boolean {
  const responding = [...minions.values()].filter(
    ({hasReported, missedCalls}) => hasReported && missedCalls === 0,
  );
  const missing = responding.filter(({id}) => !shown.has(id));
  return missing.length * 2 <= responding.length;
}

/**
 * Whether a minion that does not respond may have runs. One that has responded to this owner and does not
 * drain has crashed, which is judged when it is back or its lease has expired.
 */
function isAbsent(minion: MinionState): boolean {
  const {areRunsKnown, endedRuns, hasReported, missedCalls, runs} = minion;
  const mayHaveRuns = runs.size + endedRuns.size > 0 || !areRunsKnown;
  return missedCalls > 0 && mayHaveRuns && (!hasReported || isLeaving(minion));
}

function isLeaving({description, isRecordedDraining}: MinionState): boolean {
  return description.isDraining || isRecordedDraining;
}
