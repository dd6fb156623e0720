/** Sizes and time limits of the demo. */

export const CONDITION_LIMIT_MS = 30_000;
export const CONDITION_POLL_MS = 50;
export const CLI_PROGRAM = 'dist/cli.cjs';
export const MINION_CONNECTIONS = 64;
export const MINION_SLOTS = 8;
export const SLOW_REQUEST_MS = 1_500;
export const STOP_DELAY_MS = 300;
export const WORKER_CAPACITY = {accelerators: 0, cpu: 16, memoryMb: 60_000};
export const DIGEST_TASKS = 6;
