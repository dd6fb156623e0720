/** Times and limits of the owner of the fleet, in milliseconds where the name says so. */

/** Life of the owner's lease; bounds how long a dead owner's fleet waits for the next one. */
export const OWNERSHIP_TTL_MS = 2_000;
/** Pause between renewals: four fit into the life of the lease, so that two may be lost. */
export const OWNERSHIP_RENEWAL_INTERVAL_MS = 400;
/**
 * Time for which an owner acts on without proof of its lease, so that work goes on while the store
 * is away. Longer than the outages that the users' sheets list.
 */
export const UNCONFIRMED_GRACE_MS = 6_500;
/** Most by which the wall clock may run ahead of the steady one before ownership needs a proof. */
export const MAX_CLOCK_GAP_MS = 500;
/** Spread of the first tries to take a free ownership, so that not all entry VMs write at once. */
export const TAKEOVER_JITTER_MS = 150;
/** Pause after a failed try to take ownership. */
export const TAKEOVER_RETRY_MS = 300;
/** Time for which runs may live on without a renewal; longer than a takeover with a lost write. */
export const MINION_LEASE_MS = 7_500;
/** Calls without an answer in a row after which a minion is marked as silent. */
export const SILENT_AFTER_CALLS = 2;
/** Most by which the wall clocks of two VMs may differ, with a step of one of them. */
export const MAX_WALL_CLOCK_SKEW_MS = 2_500;
/** Pause of a session after a call without an answer. */
export const POLL_RETRY_MS = 150;
/** How long a listing may wait for an end. */
export const POLL_WAIT_MS = 2_000;
/** The same on minions whose tails have to be seen sooner. */
export const SHORT_POLL_WAIT_MS = 900;
/** The same while a tail is over its bound. */
export const NEAR_BOUND_POLL_WAIT_MS = 400;
/** Time between two records of what was learned, for the next owner. */
export const ESTIMATES_WRITE_INTERVAL_MS = 3_000;
/** Pause between listings while ends can't be written, since each would return at once. */
export const UNACKNOWLEDGED_PAUSE_MS = 500;
/** Tries of a start or stop in a row before the session's next listing decides. */
export const ORDER_ATTEMPTS = 4;
/** Pause between two tries of an order. */
export const ORDER_RETRY_MS = 60;
/** Least time between two rounds of planning: what happens within it goes into one round. */
export const MIN_PLAN_PAUSE_MS = 8;
/** Multiple of a round's duration that passes before the next: planning takes a fifth of the time. */
export const PLAN_PAUSE_RATIO = 4;
/** Longest pause that a long round causes; adds to the wait of each start. */
export const MAX_PLAN_PAUSE_MS = 60;
/** Time between rounds when nothing happens, for what time alone changes. */
export const PLAN_IDLE_MS = 250;
/** Time for which progress is gathered into one write while a caller waits for a job's end. */
export const JOURNAL_URGENT_DELAY_MS = 15;
/** The same while no job has ended: the ends of tasks only have to be kept before they are acknowledged. */
export const JOURNAL_DELAY_MS = 60;
/** Pause after a write of progress that failed. */
export const JOURNAL_RETRY_MS = 200;
/** Jobs in one write: the store takes 32 entries, and each job has a condition and a value. */
export const JOURNAL_BATCH_JOBS = 15;
/** Time between publications of the queues' lengths; callers may be told a number 2 s old. */
export const QUEUE_LENGTHS_INTERVAL_MS = 700;
/** Pause after the store could not be followed. */
export const FOLLOW_RETRY_MS = 200;
/** Step between the run numbers of successive owners; no owner starts one task as often. */
export const RUN_NUMBERS_PER_TERM = 1_000;
/** Time after its job ended for which a record is kept beyond the promised one. */
export const RETENTION_MARGIN_MS = 30_000;
/** Time between two summaries of the fleet in the log. */
export const SUMMARY_INTERVAL_MS = 2_000;
/** Pause between looks for something to ask the advising service. */
export const ADVICE_IDLE_MS = 20;
/** Time for an answer of the advising service beyond the time that it is known to take. */
export const ADVICE_TIMEOUT_MARGIN_MS = 1_000;
/** Jobs removed in one write: three keys each, within the store's 32 entries. */
export const RETENTION_BATCH_JOBS = 10;
/** Pause between removals of old jobs: ten jobs in 250 ms keep up with 40 jobs a second. */
export const RETENTION_INTERVAL_MS = 250;
/** Pause between looks for a larger VM to hand over to; the list of VMs is some seconds old anyway. */
export const HANDOVER_CHECK_INTERVAL_MS = 1_000;
/** Slow clocks and delays on the way lengthen a former owner's holds by less than this, in ms. */
const FORMER_LEASE_MARGIN_MS = 500;
/** Longest time in milliseconds for which a former owner's runs may live unseen. */
export const MAX_FORMER_LEASE_MS =
  OWNERSHIP_TTL_MS + UNCONFIRMED_GRACE_MS + MINION_LEASE_MS + FORMER_LEASE_MARGIN_MS;
/** Time in milliseconds after which a missing entry means that the minion is gone. */
export const REMOVE_UNLISTED_AFTER_MS = 3_000;
