/** Constants of the learned placement policy. */

/** Time after its submission by which a latency-critical task must start. */
export const LATENCY_CRITICAL_START_LIMIT_MS = 7000;
/** Expected duration of an eviction before any has been measured. */
export const INITIAL_EVICTION_MS = 2000;
/** Maximum number of workers scored for one decision. */
export const CANDIDATE_LIMIT = 16;
/** Maximum number of workers examined for one decision, including those without enough capacity. */
export const SCAN_LIMIT = 64;
/** A batch task that has waited this long may use the headroom for latency-critical tasks. */
export const BATCH_AGEING_MS = 600_000;
/** Largest share of the fleet's capacity that is kept free for latency-critical tasks. */
export const MAX_HEADROOM_SHARE = 0.2;
/** Weight of a latency-critical task's slowdown relative to a batch task's. */
export const LATENCY_CRITICAL_WEIGHT = 8;
/** Standard deviations added to the slowdown of latency-critical tasks, to avoid unknown pairs. */
export const CAUTION_DEVIATIONS = 0.5;
/** Standard deviations subtracted from the slowdown of batch tasks, to explore unknown pairs. */
export const EXPLORATION_DEVIATIONS = 0.25;
/** Weight of the worker's remaining free share, which limits fragmentation. */
export const FRAGMENTATION_WEIGHT = 0.1;
/** Weight of each attempt of the same entry in the same rack, for latency-critical tasks. */
export const SAME_RACK_WEIGHT = 0.02;
