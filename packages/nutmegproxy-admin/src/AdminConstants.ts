/** Limits and defaults of the administration API. */

/** Maximum request body size; a catalogue of 20,000 entries is smaller. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;
export const REQUEST_TIMEOUT_MS = 60_000;
export const HEADERS_TIMEOUT_MS = 10_000;
export const MAX_CONNECTIONS = 256;
export const MAX_TIMELINE_EVENTS = 5_000;
export const DEFAULT_CONFIRM_WAIT_MS = 9_000;
export const MAX_CONFIRM_WAIT_MS = 30_000;
export const MAX_LISTED_JOBS = 1_000;
/** Maximum number of events that one peer adds to a timeline of all processes. */
export const MAX_PEER_TIMELINE_EVENTS = 2_000;
export const PEER_TIMEOUT_MS = 3_000;
