/** Constants of the capacity measurements. */

export const CLI_PROGRAM = 'dist/cli.cjs';
export const DATA_CENTRE = 'dc-1';
export const OTHER_DATA_CENTRE_ENTRIES = 2;
export const OPERATOR_TOKEN = 'capacity-operator-token-0123456789ab';
export const PEER_SECRET = 'capacity-peer-secret-0123456789abcdef';
export const WORKERS_PER_RACK = 10;
export const MINION_SLOTS = 8;
export const MINION_CONNECTIONS = 64;
export const WORKER_CAPACITY = {accelerators: 0, cpu: 16, memoryMb: 60_000};
export const TEAMS = 180;
/** A catalogue change is limited to 100 teams and 1 MB. */
export const TEAMS_PER_CHANGE = 60;
export const SERVICE = 'mesa';
export const TASK_ENTRY = 'digest';
export const TASK_CPU = 0.1;
export const TASK_MEMORY_MB = 100;
/** Run time of a task that must outlast every measurement. */
export const LONG_WORK_MS = 3_600_000;
export const SHORT_WORK_MS = 1_000;
/** Tasks per job; limited because all tasks of a job run in one rack. */
export const TASKS_PER_JOB = 20;
export const MS_PER_SECOND = 1_000;
export const SECONDS_PER_MINUTE = 60;
export const READY_TIMEOUT_MS = 60_000;
export const POLL_MS = 250;
export const DEFAULT_SETTLE_SECONDS = 8;
export const DEFAULT_WINDOW_SECONDS = 15;
