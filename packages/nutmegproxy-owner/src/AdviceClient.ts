/** Client of the service that permits steps on minions. Each platform's adapter implements this interface. */

import type {MinionId} from '@nutmegproxy/core';
import type {Ticket} from '@nutmegproxy/scheduling';
import type {ResultAsync} from 'neverthrow';

export interface AdviceAnswer {
  /** Tickets of the minions that may run the step; the other minions of the query may not. */
  readonly tickets: ReadonlyMap<MinionId, Ticket>;
  /** Validity of the tickets in milliseconds from the call; undefined when the response has none. */
  readonly validMs: number | undefined;
}

/** `busy`: too many calls are waiting. `unanswered`: the service did not respond in time. */
export interface AdviceFailure {
  readonly kind: 'busy' | 'unanswered';
  readonly message: string;
}

export interface AdviceClient {
  /** Asks on which of at most 100 minions a step may run; names it by job, occurrence and number. */
  ask(
    step: string,
    minions: readonly MinionId[],
    timeoutMs: number,
  ): ResultAsync<AdviceAnswer, AdviceFailure>;
}
