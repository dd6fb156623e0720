/** Limits of the stand-ins. */

export const HISTORY_CAPACITY = 200_000;
export const LEASE_CHECK_INTERVAL_MS = 50;
export const MAX_BODY_BYTES = 32 * 1024 * 1024;
export const MAX_OPERATIONS = 128;
export const MAX_VALUE_BYTES = 1024 * 1024;
export const VM_LIST_HISTORY = 1_000;
export const WATCH_BACKLOG_EVENTS = 100_000;
export const USAGE_SAMPLE_INTERVAL_MS = 50;
export const USAGE_SAMPLES = 200;
export const WORKER_TICK_MS = 10;
/** Interval in milliseconds between the parts of a response that is sent at a limited rate. */
export const PART_INTERVAL_MS = 50;
