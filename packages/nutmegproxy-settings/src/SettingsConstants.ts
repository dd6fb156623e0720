/** Defaults of the optional settings; docs/SETTINGS.md lists them. */

export const DEFAULT_KEY_PREFIX = '/nutmegproxy';

export const DEFAULT_LOG = {
  level: 'info',
  ringSize: 20_000,
} as const;

export const DEFAULT_POLICIES = {
  laneOrder: 'fair',
  minionChoice: 'power-of-two',
  placement: 'learned',
  requestQueue: 'deadline',
} as const;

export const DEFAULT_TIMINGS = {
  commitIntervalMs: 10,
  heartbeatMs: 1_000,
  outageLimitMs: 7_200_000,
  stopDelayMs: 5_000,
  storeTimeoutMs: 2_000,
  taskLeaseMs: 30_000,
  tenureTtlMs: 10_000,
  vmListPollMs: 1_000,
  vouchPeriodMs: 6_000,
  workerSyncMs: 1_000,
} as const;
