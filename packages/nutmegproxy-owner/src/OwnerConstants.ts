/** Times and limits of the owner of the fleet. */

/** Pause after the response to a renewal. */
export const OWNERSHIP_RENEWAL_INTERVAL_MS = 400;
/** Pause after a renewal without a response: eight fit into the rest of the lease's time to live. */
export const OWNERSHIP_RENEWAL_RETRY_MS = 200;
/** Renewals that may be without a response at a time; a call that fails settles earlier. */
export const MAX_PENDING_RENEWALS = 8;
/** Calls that end a lease, while none is answered; a stopping process waits for them. */
export const REVOKE_ATTEMPTS = 4;
/** Pause between these calls. */
export const REVOKE_RETRY_MS = 200;
/**
 * Largest lead of the wall clock over the monotonic clock; beyond it the machine may have been
 * suspended, and the ownership lease has to be renewed before it counts as valid.
 */
export const MAX_CLOCK_GAP_MS = 500;
/** Upper bound of the random delay before acquiring a free ownership; spreads the VMs' writes. */
export const TAKEOVER_JITTER_MS = 150;
/** Pause between checks whether a VM can own the fleet, of what it has read alone: each delays its takeover. */
export const CAN_OWN_CHECK_INTERVAL_MS = 50;
/** Pause after a failed attempt to acquire the ownership. */
export const TAKEOVER_RETRY_MS = 300;
/** Consecutive calls without a response after which a minion is flagged as silent. */
export const SILENT_AFTER_MISSED_CALLS = 2;
/** Pause of a session after a poll that failed. */
export const POLL_RETRY_MS = 150;
/** Longest time that a poll waits on the minion for the result of a run. */
export const POLL_WAIT_MS = 2_000;
/** The same on minions that run serving tasks beside backfill, to see a rise in tail latency sooner. */
export const SHORT_POLL_WAIT_MS = 900;
/** The same while a serving task's tail latency is near or over its target. */
export const NEAR_TARGET_POLL_WAIT_MS = 400;
/** Time in milliseconds for which leases last once a minion was to leave; longer than the longest poll and a missed one. */
export const LEASE_AFTER_DRAIN_MS = 3_500;
/** Pause between two writes of the learned estimates. */
export const ESTIMATES_WRITE_INTERVAL_MS = 3_000;
/** Pause between polls while results can't be persisted, since each poll would return at once. */
export const UNACKNOWLEDGED_PAUSE_MS = 500;
/** Shortest time between two log lines that a minion omits results. */
export const OMISSION_LOG_INTERVAL_MS = 5_000;
/** Consecutive attempts to send a start or stop; after them the next poll decides. */
export const ORDER_ATTEMPTS = 4;
/** Starts of one run without a response after which a minion that responds to polls does not get it again. */
export const MAX_UNANSWERED_STARTS = 8;
/** Longest wait for the record of a suspected task's start; the task is then placed again. */
export const TRIAL_RECORD_TIMEOUT_MS = 1_000;
/** Pause between two attempts to send an order. */
export const ORDER_RETRY_MS = 60;
/** Shortest pause between two rounds of planning; changes within it are planned together. */
export const MIN_PLAN_PAUSE_MS = 8;
/** Pause after a round as a multiple of its duration, so that planning takes a fifth of the time. */
export const PLAN_PAUSE_RATIO = 4;
/** Longest pause after a round; it adds to the delay of each start. */
export const MAX_PLAN_PAUSE_MS = 60;
/** The same while other work waits for the event loop. */
export const MAX_BUSY_PLAN_PAUSE_MS = 250;
/** Time after which the work of a turn of the event loop is left to the next one. */
export const MAX_TURN_MS = 25;
/** Time for placement in a round of planning; the next round goes on with what is left. */
export const MAX_PLACEMENT_MS = 60;
/** Duration of a turn of the event loop from which it is logged. */
export const LONG_TURN_MS = 250;
/** Minimum time between two such lines. */
export const LONG_TURN_LOG_INTERVAL_MS = 1_000;
/** Longest time without a round, for decisions that depend on time alone. */
export const MAX_PLAN_IDLE_MS = 250;
/** Time for which progress is collected into one write once a job has ended. */
export const JOURNAL_URGENT_DELAY_MS = 15;
/** The same while no job has ended: results of tasks only have to be stored before their acknowledgement. */
export const JOURNAL_DELAY_MS = 60;
/** Pause after a failed write of progress. */
export const JOURNAL_RETRY_MS = 200;
/** Jobs in one write: the store takes 32 entries, and each job has a condition and a value. */
export const JOURNAL_BATCH_JOBS = 15;
/** Pause between publications of the queue lengths; the lengths that callers get may be 2 s old. */
export const QUEUE_LENGTHS_INTERVAL_MS = 700;
/** Time after which unchanged lengths, and the outlook of a cell, are written again: at every second publication. */
export const QUEUE_LENGTHS_REPEAT_MS = 1_300;
/** Time from their write after which lengths are outdated: two publications and a call of a slow store. */
export const QUEUE_LENGTHS_VALID_MS = 2_500;
/** Most groups of minions in the outlook of a cell, some 80 bytes each. */
export const MAX_ROOM_GROUPS = 16;
/** Most labels in the outlook of a cell. */
export const MAX_ROOM_LABELS = 64;
/** Pause after a read or watch of the store failed. */
export const STORE_RETRY_MS = 200;
/** Run numbers reserved for each owner; no owner starts one task this often. */
export const RUN_NUMBERS_PER_TERM = 1_000;
/** Time for which records of an ended job are kept beyond the configured retention. */
export const RETENTION_MARGIN_MS = 30_000;
/** Time between two summaries of the fleet in the log. */
export const SUMMARY_INTERVAL_MS = 2_000;
/** Pause between checks for queries to the advising service. */
export const ADVICE_IDLE_PAUSE_MS = 20;
/** Pause between checks for a configuration in which a queue needs advice. */
export const ADVICE_UNUSED_PAUSE_MS = 250;
/** Time added to the expected duration of a call to the advising service to get its timeout. */
export const ADVICE_TIMEOUT_MARGIN_MS = 1_000;
/** Keys of ended jobs removed in one write, which has a condition too, within the store's 32 entries. */
export const RETENTION_BATCH_KEYS = 30;
/** Pause between removals of old jobs: ten jobs per 250 ms keep up with 40 jobs per second. */
export const RETENTION_INTERVAL_MS = 250;
/** Pause between checks for a larger VM to hand over to; the list of VMs is some seconds old anyway. */
export const HANDOVER_CHECK_INTERVAL_MS = 1_000;
/**
 * Shortest wait for the report of a minion that a former owner used, although its lease has expired:
 * it may list results that no owner has stored.
 */
export const REPORT_WAIT_MS = 2_000;
/**
 * Time between two writes of the recovery record while it names leases that have not expired: a VM that did
 * not know when the record was stored counts them from its own read.
 */
export const LEASE_TIMES_INTERVAL_MS = 1_000;
/**
 * Time between two comparisons of the records of draining minions with their runs: each change writes the
 * whole roster, and most interrupted tasks run elsewhere by then.
 */
export const DRAINING_REVIEW_INTERVAL_MS = 250;
/** Pause between reads of the former owner's closing record while minions have not reported. */
export const CLOSING_RECORD_READ_INTERVAL_MS = 300;
/** Longest such pause; the record of a large fleet takes part of a slow link with each read. */
export const MAX_CLOSING_RECORD_READ_INTERVAL_MS = 2_000;
/** Pause between checks for minions that the list of machines may show to be gone. */
export const MACHINE_REVIEW_INTERVAL_MS = 200;
/** Most such checks between two lists of machines, for minions that stay cut off. */
export const MAX_REVIEWS_WITHOUT_LIST = 9;
/** Lists in a row that have to agree: the pages of one may be from different times. */
export const MACHINE_LISTS = 2;
/** Time after which a minion without an entry in the directory is removed. */
export const REMOVE_UNLISTED_AFTER_MS = 3_000;
