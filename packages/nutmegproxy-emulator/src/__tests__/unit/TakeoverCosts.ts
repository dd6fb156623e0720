/**
 * Processor time of an owner's work on a VM of one core at full speed, in milliseconds, as a trial of the bench
 * on x86-64 has shown it for 246 minions and 1,100 jobs.
 */

/** Decoding of a job's request or progress: 22 ms for both of 1,100 jobs. */
export const DECODED_RECORD_MS = 0.01;
/** Sending of a poll: 48 ms for 246. */
export const SENT_POLL_MS = 0.195;
/** Handling of the response to a poll, before its listing is adopted. */
export const RECEIVED_LISTING_MS = 1.2;
export const ADOPTED_LISTING_MS = 0.35;
/** A round of planning without its starts. */
export const FIRST_ROUND_MS = 45;
export const LATER_ROUND_MS = 15;
/** A start that a round plans: 160 ms for a later round with 2,000. */
export const PLANNED_START_MS = 0.0725;
/** A start or stop with its response. */
export const SENT_ORDER_MS = 0.25;
export const STORE_CALL_MS = 0.3;
