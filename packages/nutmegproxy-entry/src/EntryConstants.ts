/** Timeouts, intervals and limits of an entry VM. */

/** Delay in milliseconds before the configuration is read again after a read or watch failed. */
export const CONFIGURATION_RETRY_DELAY_MS = 200;
/**
 * Pause in milliseconds after a version of the configuration was received, before the next one is: versions in a
 * series leave room for other calls on a slow link.
 */
export const CONFIGURATION_PAUSE_MS = 300;
/**
 * Size in bytes up to which the configuration is read again while versions follow each other; about what a slow
 * link still carries of a watch response after it was given up.
 */
export const MAX_REPEATED_CONFIGURATION_BYTES = 80 * 1024;
/** Pause in milliseconds before the number of cells is read again. */
export const CELL_COUNT_RETRY_MS = 200;
/** Upper bound in milliseconds of the random delay before the number is decided; spreads the VMs' writes. */
export const CELL_COUNT_JITTER_MS = 150;
/** Time in milliseconds for which the decision is put off until the machines and enough VMs are known. */
export const CELL_COUNT_WAIT_MS = 2_000;
/** Time in milliseconds for which as many VMs have to be listed before a fleet is divided: larger ones may register later. */
export const EQUAL_VMS_MS = 1_000;
/** Longest time in milliseconds for which the decision is put off while the list of VMs changes. */
export const MAX_CELL_COUNT_WAIT_MS = 6_000;
/** Time in milliseconds within which a failed call to the store is retried. */
export const STORE_RETRY_BUDGET_MS = 1_000;
/** Delay in milliseconds between attempts of a call to the store. */
export const STORE_RETRY_DELAY_MS = 80;
/** Times that a cancellation looks for a job, which may be stored between the read and the write. */
export const MAX_CANCEL_ATTEMPTS = 2;
/** Maximum age in milliseconds of cached queue lengths. */
export const QUEUE_LENGTH_CACHE_MS = 400;
/** Maximum age in milliseconds of the forecasts by which the cells of new jobs are chosen. */
export const FORECAST_CACHE_MS = 1_500;
/** Time in milliseconds for which a submitted job waits for new forecasts, of the seconds that its caller has. */
export const FORECAST_READ_MS = 250;
/** Number of reported places from which they may be reported again, to bound the memory that they take. */
export const MAX_REPORTED_PLACES = 1_000;
/**
 * Time in milliseconds without a response from the store after which it counts as unavailable and
 * calls that need it are refused at once.
 */
export const STORE_OUTAGE_AFTER_MS = 1_000;
/** Minimum retry delay in milliseconds that is returned to a refused caller. */
export const MIN_RETRY_AFTER_MS = 500;
/** Expected duration in milliseconds of a store outage, from the users' requirements. */
export const EXPECTED_OUTAGE_MS = 4_000;
/** Maximum retry delay in milliseconds that is returned to a refused caller, before the jitter. */
export const MAX_RETRY_AFTER_MS = 2_500;
/** Maximum jitter in milliseconds of the retry delay, so that callers do not return together. */
export const RETRY_AFTER_JITTER_MS = 1_000;
/** Minimum time in milliseconds for which a stopping process still accepts requests. */
export const MIN_DRAIN_MS = 2_500;
/** Longest time in milliseconds for which a VM that stops owns the fleet while no other VM can. */
export const MAX_SUCCESSOR_WAIT_MS = 2_500;
/**
 * Longest time in milliseconds for which it owns the fleet although another VM can, until its recovery is complete
 * and the stops that it has ordered are listed.
 */
export const MAX_SETTLE_MS = 1_500;
/** Interval in milliseconds at which it reads the list of VMs meanwhile. */
export const SUCCESSOR_CHECK_INTERVAL_MS = 150;
/** Time in milliseconds from the end of its ownership to its exit, in which it stores its closing record. */
export const CLOSING_MS = 1_000;
/** Time in milliseconds before the platform's kill at which a stopping process exits. */
export const KILL_MARGIN_MS = 700;
/** Time to live in milliseconds of this VM's entry in the list of VMs, unless the store has a longer minimum. */
export const VM_LEASE_TTL_MS = 10_000;
/** Pause in milliseconds after a successful renewal of that entry. */
export const VM_RENEWAL_INTERVAL_MS = 3_000;
/**
 * Minimum time in milliseconds from a failed renewal to the next, longer than the timeout of a call: seven fit into the
 * rest of the entry's time to live.
 */
export const VM_RENEWAL_RETRY_MS = 1_000;
/** Interval in milliseconds between reads of the list of VMs, which changes rarely. */
export const VM_LIST_INTERVAL_MS = 6_000;
/** The same after a list with few VMs: those that reach the store again after an outage have registered by then. */
export const VM_LIST_CONFIRMATION_MS = 2_000;
/** Maximum number of other VMs that a request is forwarded to, one after the other. */
export const MAX_FORWARD_ATTEMPTS = 2;
/** Timeout in milliseconds of a forwarded request. */
export const FORWARD_TIMEOUT_MS = 1_200;
/** Time in milliseconds between two lines with the counts of callers' requests. */
export const CALLS_LOG_INTERVAL_MS = 1_000;
/** Delay in milliseconds before a VM that starts first reads the list of VMs. */
export const VM_FIRST_LIST_DELAY_MS = 700;
