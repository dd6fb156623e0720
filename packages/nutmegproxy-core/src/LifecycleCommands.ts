/** Commands of the process lifecycle, which every feature may handle. */

import {createCommand} from './CommandBus.ts';

/** Payload of DRAIN_STARTED. */
export interface DrainStart {
  /** Adds work that must settle before the process may exit. */
  readonly wait: (work: Promise<void>) => void;
}

/**
 * A planned stop has begun. Handlers finish or hand over their work and return false, so that the
 * command reaches every feature.
 */
export const DRAIN_STARTED = createCommand<DrainStart>('DRAIN_STARTED');
