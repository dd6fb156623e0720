/** Durations and bounds of membership. */

export const TENURE_TTL_MS = 10_000;
export const VOUCH_PERIOD_MS = 6_000;
/** Longest time that a process may act on vouches alone, counted from its last lease renewal. */
export const OUTAGE_LIMIT_MS = 2 * 60 * 60 * 1_000;
/** Longest time that a request may occupy a slot. */
export const REQUEST_LIMIT_MS = 60_000;
export const LOAN_TERM_MS = 10_000;
/** Share by which two clocks may differ in rate. */
export const CLOCK_RATE_MARGIN = 0.05;
export const TICK_MS = 1_000;
export const RECORD_POLL_MS = 2_000;
/** Members that read the record at the plain interval; more of them share these reads. */
export const FULL_RATE_MEMBERS = 3;
/** Most that the interval is stretched by: what peers did not pass on waits no longer. */
export const MAX_POLL_INTERVAL_FACTOR = 15;
export const PEER_TIMEOUT_MS = 1_000;
/** Longest tick and poll as parts of the tenure's time to live. */
export const MAX_TICK_FRACTION = 0.1;
export const MAX_POLL_FRACTION = 0.2;
/** Part of the tenure's time to live after which the lease is renewed. */
export const RENEW_AFTER_FRACTION = 0.3;
/** Part of the time to live after which vouches are asked for beside the renewal. */
export const VOUCH_AFTER_FRACTION = 0.5;
/** Peers that are asked to relay a renewal at one time. */
export const MAX_RELAYS = 3;
/** Cells whose owner one transaction changes. */
export const MAX_CELL_CHANGES = 48;
export const MAX_DENIED_INCARNATIONS = 1_024;
/** Time that a planned stop waits for shares and cells to be given up. */
export const LEAVE_TIMEOUT_MS = 90_000;
/** Peers that one borrowing asks in turn. */
export const MAX_LENDERS_PER_BORROW = 2;
export const LOAN_REQUEST_TIMEOUT_MS = 250;
export const LOAN_TICK_MS = 250;
/** Part of a loan's term after which the borrower renews it. */
export const LOAN_RENEW_AFTER_FRACTION = 0.5;
/** Loans that a process grants, and that it holds, at one time. */
export const MAX_LOANS = 4_096;
/** Interval of record steps during a planned stop, so that it takes seconds only. */
export const LEAVE_POLL_MS = 250;
