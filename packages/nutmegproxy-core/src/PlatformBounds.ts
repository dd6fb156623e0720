/** Limits that the platform sets for its minions and its store; each deployment has its own. */

export interface PlatformBounds {
  /** Time in milliseconds for which a minion keeps serving after it has reported that it drains. */
  readonly drainMs: number;
  /** Time in milliseconds after the end of the traffic in which accepted work with free room has to run. */
  readonly finishMs: number;
  /** Longest time in milliseconds for which backfill may keep a serving task's tail latency over its target. */
  readonly maxExceededTargetMs: number;
  /** Longest lease in milliseconds that a minion accepts, measured on its own clock. */
  readonly maxMinionLeaseMs: number;
  /** Shortest time to live in milliseconds of a lease in the store. */
  readonly minStoreLeaseMs: number;
  /** Factor by which a task takes longer on another rack than that of its data or its gang. */
  readonly remoteRackFactor: number;
  /** Time in milliseconds that a run takes to resume from a checkpoint. */
  readonly restoreMs: number;
  /** Longest time in milliseconds that a stop takes on a minion. */
  readonly stopTimeoutMs: number;
}

/** Used for each figure that the settings lack. */
export const DEFAULT_PLATFORM_BOUNDS: PlatformBounds = {
  drainMs: 2_000,
  finishMs: 14_000,
  maxExceededTargetMs: 4_000,
  maxMinionLeaseMs: 10_000,
  minStoreLeaseMs: 1_000,
  remoteRackFactor: 1.5,
  restoreMs: 600,
  stopTimeoutMs: 900,
};
