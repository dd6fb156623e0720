/**
 * Caches the responses of the external advisor, which decides on which minions a step may run. It
 * responds to one call at a time and takes longer for more minions, so permissions are requested in
 * advance and cached while they are valid.
 */

import type {Branded, Instant, MinionId} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {meetsConstraints} from './Placement.ts';

/** Proof that a step may run on a minion. */
export type Ticket = Branded<string, 'Ticket'>;

/** Maximum number of minions in one call; larger calls would delay the first start. */
const MAX_MINIONS_PER_CALL = 30;
/** Time in milliseconds before its expiry at which a ticket is no longer used. */
const TICKET_EXPIRY_MARGIN_MS = 500;

interface Permission {
  readonly bornAt: number | undefined;
  /** Undefined when the step may not run on the minion. */
  readonly ticket: Ticket | undefined;
  readonly validUntil: Instant;
}

/** A call to the advisor: the step and the minions to decide on. */
export interface AdviceQuery {
  readonly minions: readonly MinionState[];
  readonly step: StepState;
}

export class AdviceCache {
  /** When a step was last asked for, also by a call that failed. */
  readonly #askedAt = new WeakMap<StepState, Instant>();
  readonly #permissions = new WeakMap<StepState, Map<MinionId, Permission>>();

  /**
   * Returns the next call, for a step with fewer permitted minions than waiting tasks: the one that has waited longest
   * for its turn or since its last call. Otherwise a step that is permitted on few minions, or whose calls fail, would
   * keep the steps after it from being asked for.
   */
  chooseQuery(
    fleet: Fleet,
    steps: readonly StepState[],
    minions: readonly MinionState[],
    now: Instant,
  ): AdviceQuery | undefined {
    const inTurn = steps.toSorted((a, b) => this.findWaitStart(a) - this.findWaitStart(b));
    for (const step of inTurn) {
      const policy = fleet.resolveQueuePolicy(step.job);
      if (policy.advice === undefined) {
        continue;
      }
      const candidates = minions.filter(
        (minion) =>
          minion.description.service === policy.service &&
          meetsConstraints(step, minion) &&
          minion.hasCapacity(step.shape),
      );
      const permitted = candidates.filter((minion) => this.isPermitted(step, minion, now) === true);
      const unknown = candidates.filter(
        (minion) => this.isPermitted(step, minion, now) === undefined,
      );
      if (permitted.length < step.waiting.size && unknown.length > 0) {
        return {minions: unknown.slice(0, MAX_MINIONS_PER_CALL), step};
      }
    }
    return undefined;
  }

  /** Whether the step may run on the minion; undefined while that is not known. */
  isPermitted(step: StepState, minion: MinionState, now: Instant): boolean | undefined {
    const known = this.#find(step, minion);
    if (known === undefined) {
      return undefined;
    }
    if (known.ticket === undefined) {
      return false;
    }
    return now < known.validUntil - TICKET_EXPIRY_MARGIN_MS ? true : undefined;
  }

  /** Returns since when a step waits for its next call. */
  findWaitStart(step: StepState): number {
    return this.#askedAt.get(step) ?? step.readyAt ?? 0;
  }

  /** Called before the response to a call. */
  recordCall({step}: AdviceQuery, now: Instant): void {
    this.#askedAt.set(step, now);
  }

  /** Stores the advisor's response; minions without a ticket are not permitted. */
  recordResponse(
    {minions, step}: AdviceQuery,
    tickets: ReadonlyMap<MinionId, Ticket>,
    validUntil: Instant,
  ): void {
    const known = this.#permissions.get(step) ?? new Map<MinionId, Permission>();
    this.#permissions.set(step, known);
    for (const {description, id} of minions) {
      known.set(id, {bornAt: description.bornAt, ticket: tickets.get(id), validUntil});
    }
  }

  /** Returns the ticket for a start of the step on the minion. */
  findTicket(step: StepState, minion: MinionState): Ticket | undefined {
    return this.#find(step, minion)?.ticket;
  }

  /** Removes a permission whose ticket was rejected, so that it is requested again. */
  invalidate(step: StepState, minion: MinionState): void {
    this.#permissions.get(step)?.delete(minion.id);
  }

  /** Returns the cached permission, which is valid for one incarnation of its minion. */
  #find(step: StepState, {description, id}: MinionState): Permission | undefined {
    const known = this.#permissions.get(step)?.get(id);
    return known?.bornAt === description.bornAt ? known : undefined;
  }
}
