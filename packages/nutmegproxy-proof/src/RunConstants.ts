/** Sizes and time limits of the fault-injection runs. */

/** Resources that the task entries of the catalogue declare. */
export const DECLARED_RESOURCES = {
  digest: {accelerators: 0, cpu: 2, memoryMb: 1_000},
  retouch: {accelerators: 0, cpu: 3, memoryMb: 2_000},
  urgent: {accelerators: 0, cpu: 5, memoryMb: 1_000},
} as const;

/** Stand-ins in each data centre. */
export const PLATFORM_SIZE = {minions: 3, slots: 4, workerCpu: 8, workers: 2} as const;

export const CALLERS = 6;
export const CALLER_PAUSE_MS = 20;
export const FAULT_ROUNDS = 3;
/** Longest wait for accepted work to complete after the faults; far above the usual time. */
export const SETTLE_LIMIT_MS = 60_000;
export const START_LIMIT_MS = 40_000;
export const CATALOGUE_POLL_INTERVAL_MS = 250;
