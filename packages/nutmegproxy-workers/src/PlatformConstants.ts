/** Limits and delays towards the platform. */

/** Consecutive reports without a VM after which it is gone. */
export const ABSENT_REPORTS = 3;
/** Consecutive reads without an entry VM after which the platform has ended it. */
export const DEPARTED_REPORTS = 5;
export const CONNECT_TIMEOUT_MS = 1_000;
export const CONNECTIONS_PER_WORKER = 2;
/** Consecutive reports of a lower revision after which the list counts as begun anew. */
export const LOWER_REVISION_REPORTS = 10;
export const MARK_REPEAT_INTERVAL_MS = 2_000;
export const MARK_REPEAT_MS = 60_000;
export const MARKS_PER_NOTICE = 64;
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Entry VMs that are remembered as listed or departed. */
export const MAX_DEPARTED_VMS = 4_096;
export const MAX_LEAVING_MARKS = 20_000;
export const VM_LIST_TIMEOUT_MS = 2_000;
export const WORKER_TIMEOUT_MS = 2_000;
