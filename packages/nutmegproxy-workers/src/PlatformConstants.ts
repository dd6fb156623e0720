/** Limits, timeouts and intervals of the communication with the platform. */

/** Consecutive reports without a VM after which it is removed from the directory. */
export const REMOVAL_MISSED_REPORTS = 3;
/** Consecutive reads without an entry VM after which it counts as terminated by the platform. */
export const DEPARTURE_MISSED_REPORTS = 5;
export const CONNECT_TIMEOUT_MS = 1_000;
export const CONNECTIONS_PER_WORKER = 2;
/** Consecutive reports of a lower revision after which the list counts as reset. */
export const LOWER_REVISION_REPORTS = 10;
export const MARK_REBROADCAST_INTERVAL_MS = 2_000;
export const MARK_REBROADCAST_WINDOW_MS = 60_000;
export const MAX_MARKS_PER_NOTICE = 64;
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Entry VMs tracked as listed or departed. */
export const MAX_TRACKED_ENTRY_VMS = 4_096;
export const MAX_LEAVING_MARKS = 20_000;
export const VM_LIST_TIMEOUT_MS = 2_000;
export const WORKER_TIMEOUT_MS = 2_000;
