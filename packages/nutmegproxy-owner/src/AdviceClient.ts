/** The service that says on which minions a step may run. The adapter of a platform implements this. */

import type {MinionId} from '@nutmegproxy/core';
import type {Ticket} from '@nutmegproxy/scheduling';
import type {ResultAsync} from 'neverthrow';

export interface AdviceAnswer {
  /** Tickets of the minions that may run the step; the others that were asked for may not. */
  readonly tickets: ReadonlyMap<MinionId, Ticket>;
  /** How long the tickets are valid, in milliseconds from the call; undefined when not told. */
  readonly validMs: number | undefined;
}

/** `busy`: too many calls wait. `unanswered`: no answer in time. */
export interface AdviceFailure {
  readonly kind: 'busy' | 'unanswered';
  readonly message: string;
}

export interface AdviceClient {
  /** Asks about one step, named as job, occurrence and number, for at most 100 minions. */
  ask(
    step: string,
    minions: readonly MinionId[],
    timeoutMs: number,
  ): ResultAsync<AdviceAnswer, AdviceFailure>;
}
