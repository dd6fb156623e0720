/** Times and limits of an entry VM. */

/** Pause in milliseconds after the store could not be followed. */
export const FOLLOW_RETRY_MS = 200;
/** Time in milliseconds that a job's write may take with all its tries. */
export const SUBMIT_BUDGET_MS = 1_800;
/** Pause in milliseconds between tries of a write. */
export const SUBMIT_RETRY_MS = 80;
/** Age in milliseconds up to which a read of the queues' lengths serves further callers. */
export const WAITING_CACHE_MS = 400;
/** Time without an answer of the store after which calls that need it are refused at once, in ms. */
export const STORE_SILENCE_MS = 1_000;
/** Least time in milliseconds that a refused caller is told to wait; the store's usual return. */
export const RETRY_AFTER_MS = 1_000;
/** Spread in milliseconds added to that, so that refused callers do not return together. */
export const RETRY_AFTER_SPREAD_MS = 1_000;
/** Time in milliseconds after a stop signal for which callers may still send requests. */
export const DRAIN_QUIET_MS = 2_500;
/** Time in milliseconds before the platform's kill at which a stopping process ends itself. */
export const KILL_MARGIN_MS = 700;
