/** Timeouts and limits of the store client. */

/**
 * Maximum time in milliseconds between two parts of a response body: a lost packet is sent again
 * several times within it.
 */
export const BODY_STALL_TIMEOUT_MS = 1_000;
export const CONNECTIONS_PER_URL = 4;
export const CONNECT_TIMEOUT_MS = 1_000;
export const DEFAULT_CALL_TIMEOUT_MS = 1_500;
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
export const WATCH_IDLE_TIMEOUT_MS = 10_000;
export const WATCH_MAX_MESSAGE_CHARACTERS = 32 * 1024 * 1024;
export const WATCH_MAX_RETRY_DELAY_MS = 2_000;
export const WATCH_MIN_RETRY_DELAY_MS = 100;
export const WATCH_OPEN_TIMEOUT_MS = 3_000;
