/** Limits that the platform sets for its minions and its store; each deployment has its own. */

export interface PlatformBounds {
  /** Work in milliseconds between two checkpoints of a task. */
  readonly checkpointIntervalMs: number;
  /** Time in milliseconds for which a minion keeps serving after it has reported that it drains. */
  readonly drainMs: number;
  /** Time in milliseconds for which a member of a gang waits for the others before it fails. */
  readonly gangTimeoutMs: number;
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
  /** Reads per second that the store accepts from all VMs together. */
  readonly storeReadsPerSecond: number;
  /** Writes per second that the store accepts from all VMs together. */
  readonly storeWritesPerSecond: number;
  /** Time in milliseconds after which a lasting task that is not at work counts as unavailable. */
  readonly unavailableAfterMs: number;
}

/** Used for each figure that the settings lack. */
export const DEFAULT_PLATFORM_BOUNDS: PlatformBounds = {
  checkpointIntervalMs: 1_000,
  drainMs: 2_000,
  gangTimeoutMs: 3_000,
  maxMinionLeaseMs: 10_000,
  minStoreLeaseMs: 1_000,
  remoteRackFactor: 1.5,
  restoreMs: 600,
  stopTimeoutMs: 900,
  storeReadsPerSecond: 2_000,
  storeWritesPerSecond: 400,
  unavailableAfterMs: 4_500,
};
