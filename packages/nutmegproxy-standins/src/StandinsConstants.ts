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
/** Time in milliseconds after which the caller of the in-memory store gives up on a late call. */
export const LATE_CALL_TIMEOUT_MS = 900;
/** Least and most time in milliseconds by which a late call is carried out late. */
export const MIN_LATENESS_MS = 1_000;
export const MAX_LATENESS_MS = 6_000;
