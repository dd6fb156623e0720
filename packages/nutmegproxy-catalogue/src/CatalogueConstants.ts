/** Bounds and intervals of the catalogue. */

/** Accepted changes that the history keeps. */
export const HISTORY_LENGTH = 500;
/** Teams in one nested transaction; the store takes at most 128 operations in each. */
export const TEAMS_PER_TRANSACTION = 100;
/** Teams that one change may touch; their nested transactions stay within 128 operations. */
export const MAX_CHANGED_TEAMS = 10_000;
/** Changed teams up to which a reader reads them one by one; above, it reads everything. */
export const MAX_TEAM_READS = 100;
/** Bytes of all parts of one change; the store takes about 1.5 MB in one call. */
export const MAX_CHANGE_BYTES = 1_000_000;
/** Removed teams that a process remembers, so that peers can be told of them. */
export const MAX_RETAINED_REMOVALS = 1_000;
/** VMs of a data centre that hold a watch on the head; the others hear from peers. */
export const WATCHERS_PER_DATA_CENTRE = 3;

export const EXCHANGE_INTERVAL_MS = 1_000;
/** Interval while no catalogue is known yet. */
export const INITIAL_EXCHANGE_INTERVAL_MS = 200;
export const STORE_CHECK_INTERVAL_MS = 10_000;
/** Interval of reading while the store has not answered or no catalogue is known. */
export const STORE_RETRY_INTERVAL_MS = 500;
export const PEER_TIMEOUT_MS = 3_000;
export const COMMIT_TIMEOUT_MS = 8_000;
export const COMMIT_RETRY_DELAY_MS = 100;
export const MAX_PLAN_ATTEMPTS = 8;
/** Bytes of parts in one page between peers. */
export const PAGE_BYTES = 200_000;
export const MAX_PAGES = 100;
/** Incarnations whose applied revision is remembered. */
export const MAX_TRACKED_VMS = 2_000;
/** Revisions that a reader catches up with by the history before it reads everything. */
export const MAX_CATCH_UP_REVISIONS = 50;
export const CONFIRM_INTERVAL_MS = 150;
