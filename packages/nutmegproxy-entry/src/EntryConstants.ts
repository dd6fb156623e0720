/** Times and limits of an entry VM. */

/** Pause in milliseconds after the store could not be followed. */
export const CONFIGURATION_RETRY_DELAY_MS = 200;
/** Time in milliseconds that a job's write may take with all its tries. */
export const STORE_RETRY_BUDGET_MS = 1_000;
/** Pause in milliseconds between tries of a write. */
export const STORE_RETRY_DELAY_MS = 80;
/** Age in milliseconds up to which a read of the queues' lengths serves further callers. */
export const QUEUE_LENGTH_CACHE_MS = 400;
/** Time without an answer of the store after which calls that need it are refused at once, in ms. */
export const STORE_OUTAGE_AFTER_MS = 1_000;
/** Least time in milliseconds that a refused caller is told to wait. */
export const MIN_RETRY_AFTER_MS = 500;
/** Length of an outage of the store in milliseconds that is expected, from the users' sheets. */
export const EXPECTED_OUTAGE_MS = 4_000;
/** Longest time in milliseconds that a refused caller is told to wait. */
export const MAX_RETRY_AFTER_MS = 2_500;
/** Spread in milliseconds added to that, so that refused callers do not return together. */
export const RETRY_AFTER_JITTER_MS = 1_000;
/** Time in milliseconds after a stop signal for which callers may still send requests. */
export const MIN_DRAIN_MS = 2_500;
/** Time in milliseconds before the platform's kill at which a stopping process ends itself. */
export const KILL_MARGIN_MS = 700;
/** Life of this VM's entry in the list of VMs, in milliseconds. */
export const VM_LEASE_TTL_MS = 10_000;
/** Pause between renewals of that entry in milliseconds: three fit into its life. */
export const VM_RENEWAL_INTERVAL_MS = 3_000;
/** Pause between reads of the list in milliseconds; VMs change rarely. */
export const VM_LIST_INTERVAL_MS = 6_000;
/** Other VMs that a request is passed on to at most, one after the other. */
export const MAX_FORWARD_ATTEMPTS = 2;
/** Time in milliseconds for a request that is passed on. */
export const FORWARD_TIMEOUT_MS = 1_200;
/** Time in milliseconds after its start at which a VM first reads the list. */
export const VM_FIRST_LIST_DELAY_MS = 700;
