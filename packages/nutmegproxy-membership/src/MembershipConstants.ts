/** Durations and limits of membership. */

export const TENURE_TTL_MS = 10_000;
export const VOUCH_PERIOD_MS = 6_000;
/** Longest time that tenure may rest on vouches alone, counted from the last lease renewal. */
export const OUTAGE_LIMIT_MS = 2 * 60 * 60 * 1_000;
/** Longest time that a request may occupy a slot. */
export const REQUEST_LIMIT_MS = 60_000;
export const LOAN_TERM_MS = 10_000;
/** Fraction by which the rates of two clocks may differ. */
export const CLOCK_RATE_MARGIN = 0.05;
export const TICK_MS = 1_000;
export const RECORD_POLL_MS = 2_000;
/** Up to this many members poll at the base interval; more members share the same total rate. */
export const FULL_RATE_MEMBERS = 3;
/** Largest multiple of the base interval; it bounds the delay when a change notice is lost. */
export const MAX_POLL_INTERVAL_FACTOR = 15;
export const PEER_TIMEOUT_MS = 1_000;
/** Longest tick and poll intervals as fractions of the tenure TTL. */
export const MAX_TICK_FRACTION = 0.1;
export const MAX_POLL_FRACTION = 0.2;
/** Fraction of the tenure TTL after which the lease is renewed. */
export const RENEW_AFTER_FRACTION = 0.3;
/** Fraction of the tenure TTL after which vouches are requested in parallel with the renewal. */
export const VOUCH_AFTER_FRACTION = 0.5;
/** Peers that are asked to relay a renewal at the same time. */
export const MAX_RELAYS = 3;
/** Most cells whose owner one transaction changes. */
export const MAX_CELL_CHANGES = 48;
export const MAX_DENIED_INCARNATIONS = 1_024;
/** Longest time that a planned stop waits for shares and cells to be released. */
export const LEAVE_TIMEOUT_MS = 90_000;
/** Peers that are asked one after another for one loan. */
export const MAX_LENDERS_PER_BORROW = 2;
export const LOAN_REQUEST_TIMEOUT_MS = 250;
export const LOAN_TICK_MS = 250;
/** Fraction of a loan's term after which the borrower renews it. */
export const LOAN_RENEW_AFTER_FRACTION = 0.5;
/** Most loans that a process has granted, and most that it has borrowed, at a time. */
export const MAX_LOANS = 4_096;
/** Longest poll interval during a planned stop, so that it takes only seconds. */
export const LEAVE_POLL_MS = 250;
