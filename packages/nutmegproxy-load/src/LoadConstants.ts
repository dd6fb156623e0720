/** Constants of the load runs. */

export const CLI_PROGRAM = 'dist/cli.cjs';
export const STANDINS_PROGRAM = 'dist/standins.cjs';
export const LOAD_DATA_CENTRE = 'dc1';
export const LOAD_TEAM = 'load';

/** Time past the deadline after which a caller stops waiting for the response. */
export const CALLER_GRACE_MS = 2000;
/** Time after which a caller cancels its request during a cancellation wave. */
export const CANCEL_AFTER_MS = 20;
export const BALANCER_POLL_MS = 200;
export const READY_TIMEOUT_MS = 30_000;
export const READY_POLL_MS = 50;
/** Longest service time as a multiple of the mean. */
export const SERVICE_TIME_SPREAD_MAX = 4;
export const TIMELINE_STEP_MS = 500;
/** Highest latency that a histogram records, in µs; higher values are clamped. */
export const HIGHEST_LATENCY_US = 120_000_000;
/** Refusals that take longer count as late. */
export const PROMPT_REFUSAL_MS = 200;
