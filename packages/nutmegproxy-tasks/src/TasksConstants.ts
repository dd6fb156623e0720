/** Limits and default durations of the tasks feature. */

/** Largest request body: a job's input in JSON, with space for escapes. */
export const MAX_BODY_BYTES = 320_000;

/** Items of one store transaction; keeps nested conditions and operations below the store's 128. */
export const MAX_ITEMS_PER_COMMIT = 64;
export const MAX_COMMIT_BYTES = 900_000;
/** Largest input of a job, as JSON in UTF-8. */
export const MAX_INPUT_BYTES = 300_000;
/** A longer checkpoint is discarded, and its task restarts from the beginning. */
export const MAX_CHECKPOINT_LENGTH = 4096;
export const MAX_REASON_LENGTH = 500;
export const MAX_TRANSITIONS_PER_DELTA = 12;
export const MAX_DELTA_BYTES = 400_000;
export const SNAPSHOT_CHUNK_BYTES = 400_000;
/** Items that may wait for a commit; further submissions are rejected. */
export const MAX_WAITING_ITEMS = 4096;
export const MAX_DELTAS_PER_SNAPSHOT = 2048;
/** A snapshot is due once the deltas are as large as the last snapshot, within these bounds. */
export const MIN_DELTA_BYTES_PER_SNAPSHOT = 500_000;
export const MAX_DELTA_BYTES_PER_SNAPSHOT = 8_000_000;
export const MS_PER_SECOND = 1000;
/** Limit for the task logs of all VMs together, which bounds their share of the store's writes. */
export const MAX_TOTAL_COMMITS_PER_SECOND = 250;
export const MAX_COMMIT_INTERVAL_MS = 500;
export const COMMIT_RETRY_MS = 200;
/** Time that a submission waits for the store before its outcome is reported as unknown. */
export const SUBMISSION_TIMEOUT_MS = 3000;
export const RETRY_AFTER_SECONDS = 1;
export const PEER_TIMEOUT_MS = 4000;

/** Time within which a start request must reach its worker, by the wall clock. */
export const START_WINDOW_MS = 5000;
/** Largest relative difference between the clock rates of two machines. */
export const CLOCK_RATE_MARGIN = 0.01;
/** Largest difference between the wall clocks of two machines. */
export const CLOCK_SKEW_MS = 1000;
export const RETRY_BASE_MS = 500;
export const RETRY_MAX_MS = 60_000;
export const DEFAULT_MAX_ATTEMPTS = 3;
/** Time before the policy is asked again about a job that it reported as impossible. */
export const IMPOSSIBLE_RECHECK_MS = 5000;

export const MAX_DECISIONS_PER_ROUND = 512;
export const MAX_QUEUE_SCAN_PER_ROUND = 4096;
export const DECISION_INTERVAL_MS = 20;
export const SUPERVISION_INTERVAL_MS = 100;
export const RECOVERY_RETRY_MS = 1000;
export const SUMMARY_INTERVAL_MS = 1000;
export const SUMMARY_MAX_AGE_MS = 10_000;
export const KNOWLEDGE_INTERVAL_MS = 2000;
export const ENDED_JOB_RETENTION_MS = 600_000;
export const MAX_ENDED_JOBS = 5000;
export const MAX_REMOVED_JOBS_PER_ROUND = 24;
export const MAX_TASKS_PER_CELL = 100_000;
/** Time that the idempotency key of a removed job stays in the store. */
export const REMOVED_JOB_KEY_TTL_SECONDS = 86_400;
/** Age at which the lease of these keys is replaced by a new one. */
export const REMOVED_JOB_LEASE_MAX_AGE_MS = 3_600_000;
/** Jobs of one cell, including ended jobs still in its table; further submissions are rejected. */
export const MAX_JOBS_PER_CELL = 20_000;
export const MAX_TASKS_IN_STATUS = 1000;
export const MAX_MIGRATIONS_PER_ROUND = 64;
export const DEFAULT_DECLARED_CPU = 1;
export const DEFAULT_DECLARED_MEMORY_MB = 1024;
export const DEFAULT_RUN_TIME_MS = 60_000;
