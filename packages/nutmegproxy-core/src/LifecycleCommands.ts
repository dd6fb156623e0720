/** Commands of a process's life that every feature may handle. */

import {createCommand} from './CommandBus.ts';

/** Payload of DRAIN_STARTED. */
export interface DrainStart {
  /** Adds work that must settle before the process may end. */
  readonly wait: (work: Promise<void>) => void;
}

/**
 * A planned stop has begun. Handlers finish or hand over what they hold and return false, so that
 * every feature hears it.
 */
export const DRAIN_STARTED = createCommand<DrainStart>('DRAIN_STARTED');
