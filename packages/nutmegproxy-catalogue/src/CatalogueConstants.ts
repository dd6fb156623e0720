/** Limits and intervals of the catalogue. */

/** Number of accepted changes kept in the history. */
export const HISTORY_LENGTH = 500;
/** Teams per nested transaction; the store allows at most 128 operations in each. */
export const TEAMS_PER_TRANSACTION = 100;
/** Maximum teams per change; the transaction that nests theirs stays within 128 operations. */
export const MAX_CHANGED_TEAMS = 10_000;
/** Maximum number of changed teams that are read one by one; beyond it, all teams are read. */
export const MAX_TEAM_READS = 100;
/** Maximum size of all parts of one change; the store accepts about 1.5 MB per call. */
export const MAX_CHANGE_BYTES = 1_000_000;
/** Removed teams that a process keeps in memory, to include them in deltas for peers. */
export const MAX_RETAINED_REMOVALS = 1_000;
/** VMs per data centre that watch the head key; the others receive revisions from peers. */
export const WATCHERS_PER_DATA_CENTRE = 3;

export const EXCHANGE_INTERVAL_MS = 1_000;
/** Exchange interval while no catalogue is known yet. */
export const INITIAL_EXCHANGE_INTERVAL_MS = 200;
export const STORE_CHECK_INTERVAL_MS = 10_000;
/** Interval between reads of the store after a failed read. */
export const STORE_RETRY_INTERVAL_MS = 500;
export const PEER_TIMEOUT_MS = 3_000;
export const COMMIT_TIMEOUT_MS = 8_000;
export const COMMIT_RETRY_DELAY_MS = 100;
export const MAX_PLAN_ATTEMPTS = 8;
/** Maximum size of the team parts in one page sent to a peer; a page has at least one part. */
export const PAGE_BYTES = 200_000;
export const MAX_PAGES = 100;
/** Maximum number of VMs whose applied revision is tracked. */
export const MAX_TRACKED_VMS = 2_000;
/** Maximum number of revisions read from the history; further behind, all teams are read. */
export const MAX_CATCH_UP_REVISIONS = 50;
export const CONFIRM_INTERVAL_MS = 150;
