/** Constants of the learned placement policy. */

/** Time from a task's submission in which a latency-critical one has to start. */
export const LATENCY_CRITICAL_START_LIMIT_MS = 7000;
/** Time that an eviction takes until evictions have been measured. */
export const INITIAL_EVICTION_MS = 2000;
/** Workers that are compared for one decision. */
export const CANDIDATE_LIMIT = 16;
/** Workers that are looked at for one decision, whether they have room or not. */
export const SCAN_LIMIT = 64;
/** A batch task that has waited this long may use the room kept for urgent work. */
export const BATCH_AGEING_MS = 600_000;
/** Largest part of the fleet that is kept free for urgent work. */
export const MAX_HEADROOM_SHARE = 0.2;
/** A slowdown of a latency-critical task weighs this much more than one of a batch task. */
export const LATENCY_CRITICAL_WEIGHT = 8;
/** Deviations added to the slowdown of latency-critical tasks: unknown pairs are avoided. */
export const CAUTION_DEVIATIONS = 0.5;
/** Deviations taken off the slowdown among batch tasks: unknown pairs are tried. */
export const EXPLORATION_DEVIATIONS = 0.25;
/** Weight of room left over on the worker, against fragmentation. */
export const FRAGMENTATION_WEIGHT = 0.1;
/** Weight of each attempt of the same entry in the same rack, for latency-critical tasks. */
export const SAME_RACK_WEIGHT = 0.02;
