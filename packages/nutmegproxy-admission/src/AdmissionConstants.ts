/** Constants of admission. */

/** Latency-critical requests that may pass a batch request that has waited long enough. */
export const LATENCY_GRANTS_PER_AGED_BATCH = 8;
export const BATCH_AGE_MS = 500;
/** Most requests that wait for one service in one process. */
export const QUEUE_LENGTH_MAX = 4096;

export const SERVICE_TIME_INITIAL_MS = 20;
/** Mean deviations over the mean within which nearly all service times lie. */
export const SERVICE_TIME_DEVIATIONS_MAX = 8;
/** Mean deviations over the mean that a waiting request must have left when it is given a slot. */
export const SERVICE_TIME_DEVIATIONS_MIN = 3;
export const SERVICE_TIME_WEIGHT = 0.02;
/** Most part of a request's whole time that is kept for the minion. */
export const SERVICE_TIME_SHARE_MAX = 0.5;
/** Entries whose service times are remembered. */
export const SERVICE_TIME_ENTRIES_MAX = 4096;
/** Grants after which the measured pace of a class is believed. */
export const GRANT_RATE_MIN_GRANTS = 20;
export const GRANT_RATE_WEIGHT = 0.01;
/** Factor on the expected wait of a request that is to be let in. */
export const WAIT_MARGIN = 1.25;
/** Weight of the newest measurement in a moving mean. */
export const MOVING_MEAN_WEIGHT = 0.1;
/** Half-life of a latency estimate that gets no new measurement. */
export const ESTIMATE_HALF_LIFE_MS = 5000;

export const RANK_BUCKET_MS = 16;
export const RANK_BUCKETS = 8192;

export const RETRY_RATIO = 0.1;
export const RETRY_BURST = 10;

export const OUTLIER_MIN_SAMPLES = 8;
export const OUTLIER_FAILURE_RATE_MARGIN = 0.3;
export const OUTLIER_EJECTED_SHARE_MAX = 0.34;
export const OUTLIER_EJECTION_MS = 1000;
export const OUTLIER_EJECTION_MAX_MS = 30_000;
/** Time after which a trial without a result is taken as lost. */
export const OUTLIER_PROBE_TIMEOUT_MS = 10_000;
/** Minions remembered by the tracker. */
export const OUTLIER_MINIONS_MAX = 20_000;
