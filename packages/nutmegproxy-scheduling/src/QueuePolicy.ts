/** What the configuration says of a queue. */

import type {QueueId, ServiceId} from '@nutmegproxy/jobs';

export interface QueuePolicy {
  readonly advice: AdvicePolicy | undefined;
  readonly id: QueueId;
  /** Failed runs of one task after which its job has failed. */
  readonly maxAttempts: number;
  /** 0 comes first. */
  readonly priority: number;
  readonly service: ServiceId;
  /** Factor on a job's longest chain of work that gives its objective. */
  readonly stretch: number;
  /** Added to the objective, in milliseconds. */
  readonly targetDurationMs: number;
}

/** A queue whose steps only run on minions that an external service permits. */
export interface AdvicePolicy {
  readonly callMs: number;
  readonly perMinionMs: number;
  /** How long a ticket is valid. */
  readonly validMs: number;
}

/** Used for jobs whose queue is no longer configured: they still finish. */
export const DEFAULT_QUEUE_POLICY = {
  maxAttempts: 3,
  priority: 2,
  stretch: 2,
  targetDurationMs: 1000,
};
