/** Events of the tasks feature. */

import type {EventKind} from '@nutmegproxy/core';

export const TASKS_EVENTS = {
  ATTEMPT_LOST: {
    code: 5010,
    level: 'warn',
    text: "An attempt's lease expired before its worker reported a result.",
  },
  ATTEMPT_REFUSED: {code: 5011, level: 'warn', text: 'A worker refused to start an attempt.'},
  CELL_ACQUIRED: {code: 5001, level: 'info', text: 'A cell was acquired and its log replayed.'},
  CELL_LOST: {code: 5003, level: 'warn', text: 'The store shows that another VM owns the cell.'},
  CELL_STOPPED: {code: 5002, level: 'info', text: 'This VM stopped managing a cell.'},
  COMMIT_REJECTED: {code: 5020, level: 'error', text: 'The store rejected a task log write.'},
  JOB_ACCEPTED: {code: 5030, level: 'info', text: 'A job was accepted.'},
  JOB_CANCELLED: {code: 5031, level: 'info', text: 'A job was cancelled.'},
  JOB_IMPOSSIBLE: {
    code: 5032,
    level: 'warn',
    text: 'A job cannot run with the current workers and quotas.',
  },
  LOG_MALFORMED: {
    code: 5021,
    level: 'error',
    text: "A cell's log contains a malformed value.",
  },
  TASK_ENDED: {code: 5012, level: 'info', text: 'A task has ended.'},
  TASK_EVICTED: {code: 5013, level: 'info', text: 'An attempt was selected for eviction.'},
  TASK_STARTED: {code: 5014, level: 'info', text: 'The start of an attempt was sent to a worker.'},
  WORKER_REACHED: {code: 5040, level: 'info', text: 'A worker became reachable.'},
  WORKER_UNREACHED: {
    code: 5041,
    level: 'warn',
    text: 'A worker became unreachable and receives no new attempts.',
  },
} satisfies Record<string, EventKind>;
