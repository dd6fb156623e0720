/** Scheduling settings of a queue. */

import type {AdvicePolicy, QueueId, ServiceId} from '@nutmegproxy/jobs';

export interface QueuePolicy {
  readonly advice: AdvicePolicy | undefined;
  readonly id: QueueId;
  /** Number of failed runs of one task after which its job fails. */
  readonly maxAttempts: number;
  /** Queues with lower values are scheduled first, starting at 0. */
  readonly priority: number;
  readonly service: ServiceId;
  /** Factor on a job's critical path; the objective is this product plus `targetDurationMs`. */
  readonly stretch: number;
  /** Added to the objective, in milliseconds. */
  readonly targetDurationMs: number;
}

/** Defaults of a queue's settings, also used to finish jobs whose queue is no longer configured. */
export const DEFAULT_QUEUE_POLICY = {
  maxAttempts: 3,
  priority: 2,
  stretch: 2,
  targetDurationMs: 1000,
};
