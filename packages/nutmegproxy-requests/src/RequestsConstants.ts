/** Constants of the requests feature. */

export const HEADER_FIRST_TRY = 'nutmegproxy-first-try';
export const HEADER_IDEMPOTENCY_KEY = 'idempotency-key';
/** Set by a minion that accepts no new requests. */
export const HEADER_LEAVING = 'nutmegproxy-leaving';
export const HEADER_OUTCOME = 'nutmegproxy-outcome';
/** Set by a minion on a 503 response if it did not run the request. */
export const HEADER_REFUSED = 'nutmegproxy-refused';
export const HEADER_REQUEST_ID = 'nutmegproxy-request';
export const HEADER_RETRY_AFTER_MS = 'nutmegproxy-retry-after-ms';
export const HEADER_TIMEOUT_MS = 'nutmegproxy-timeout-ms';

export const ENTRIES_PREFIX = '/entries/';

export const DEFAULT_TIMEOUT_MS = 30_000;
export const DEFAULT_KEY_PREFIX = '/nutmegproxy';
export const DEFAULT_BODY_BYTES = 1_048_576;
export const DEFAULT_ENTRY_QUEUE_LENGTH = 1024;

/** Bodies up to this size are read before a slot is acquired, and can be sent again. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;
/** Responses with a known length up to this size are read completely before they are forwarded. */
export const MAX_BUFFERED_RESPONSE_BYTES = 65_536;
export const BODY_STALL_TIMEOUT_MS = 10_000;

export const MAX_CALLER_CONNECTIONS = 10_000;
export const CALLER_HEADERS_TIMEOUT_MS = 10_000;
export const CALLER_IDLE_TIMEOUT_MS = 60_000;
export const MAX_CALLER_HEADER_BYTES = 16_384;
/** Time without new requests after which a stopping process closes its listener. */
export const STOP_IDLE_PERIOD_MS = 300;
/** Parts in which that period is waited for, to detect a stall of the process. */
export const STOP_IDLE_SLICE_MS = 50;
/** Maximum time for which new requests delay the closing of the listener. */
export const MAX_STOP_IDLE_WAIT_MS = 5000;
/** Time since a poll for connections within which hardly any new one waits to be accepted. */
export const STOP_POLL_MS = 2;
/** Maximum number of polls before the listener closes: more than connections that may wait to be accepted. */
export const MAX_STOP_POLLS = 1000;
export const DEFAULT_STOP_DELAY_MS = 5000;
export const DRAIN_POLL_INTERVAL_MS = 20;

export const CONNECT_TIMEOUT_MS = 2000;
/** Time for a minion to close its side of a connection that this process closes. */
export const CLOSE_TIMEOUT_MS = 1000;
export const MAX_CONNECTION_IDLE_MS = 4000;
export const MAX_ATTEMPTS = 3;

export const MIN_RETRY_AFTER_MS = 100;
export const RETRY_AFTER_JITTER_MS = 900;
export const MAX_RETRY_AFTER_MS = 30_000;

export const REFRESH_INTERVAL_MS = 250;
/** Fraction of the request limit for which requests may run after the loss of tenure. */
export const SLOT_OVERRUN_FRACTION = 0.8;
export const MAX_LOAN_SLOTS = 2;
export const LOAN_RETRY_DELAY_MS = 50;

/** Store calls for idempotency keys per second, summed over all entry VMs. */
export const MAX_KEY_STORE_CALLS_PER_SECOND = 120;
/** Burst size of the store calls of one process. */
export const KEY_STORE_CALL_BURST = 10;
/** Maximum keys per store call. */
export const MAX_KEYS_PER_STORE_CALL = 64;
export const MAX_PENDING_KEY_CLAIMS = 4096;
export const MAX_PENDING_KEY_WRITES = 8192;
export const DEFERRED_KEY_WRITE_DELAY_MS = 500;
export const MAX_KEY_WRITE_ATTEMPTS = 5;
/** Time for which requests with a key are refused after a store failure; also the retry delay. */
export const KEY_STORE_RETRY_DELAY_MS = 1000;
export const KEY_RETENTION_MS = 86_400_000;
export const KEY_LEASE_PERIOD_MS = 3_600_000;
/** Time for which a planned stop waits until the states of keys are recorded. */
export const KEY_FLUSH_TIMEOUT_MS = 2000;
