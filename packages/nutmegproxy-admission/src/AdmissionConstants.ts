/** Constants of admission. */

/** Latency-critical requests that may overtake an aged batch request. */
export const LATENCY_GRANTS_PER_AGED_BATCH = 8;
export const BATCH_AGE_MS = 500;
/** Maximum number of requests that wait for one service in one process. */
export const QUEUE_LENGTH_MAX = 4096;

export const SERVICE_TIME_INITIAL_MS = 20;
/** Mean deviations above the mean below which nearly all service times lie. */
export const SERVICE_TIME_DEVIATIONS_MAX = 8;
/** Mean deviations above the mean that must remain until the deadline when a slot is granted. */
export const SERVICE_TIME_DEVIATIONS_MIN = 3;
export const SERVICE_TIME_WEIGHT = 0.02;
/** Maximum share of a request's time limit that is reserved for the service time. */
export const SERVICE_TIME_SHARE_MAX = 0.5;
/** Maximum number of entries whose service times are kept. */
export const SERVICE_TIME_ENTRIES_MAX = 4096;
/** Minimum number of grants before the measured grant rate of a class is used. */
export const GRANT_RATE_MIN_GRANTS = 20;
export const GRANT_RATE_WEIGHT = 0.01;
/** Factor on the predicted wait when a request is admitted. */
export const WAIT_MARGIN = 1.25;
/** Weight of the latest measurement in a moving average. */
export const MOVING_MEAN_WEIGHT = 0.1;
/** Half-life of a latency estimate without new measurements. */
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
/** Time after which a probe without a result is considered lost. */
export const OUTLIER_PROBE_TIMEOUT_MS = 10_000;
/** Maximum number of minions that a tracker keeps. */
export const OUTLIER_MINIONS_MAX = 20_000;
