/** Events of the tasks feature. */

import type {EventKind} from '@nutmegproxy/core';

export const TASKS_EVENTS = {
  ATTEMPT_LOST: {
    code: 5010,
    level: 'warn',
    text: 'An attempt certainly runs no longer though its worker never said how it ended.',
  },
  ATTEMPT_REFUSED: {code: 5011, level: 'warn', text: 'A worker refused to start an attempt.'},
  CELL_ACQUIRED: {code: 5001, level: 'info', text: 'The log of a cell was replayed.'},
  CELL_LOST: {code: 5003, level: 'warn', text: 'The store shows that another VM owns the cell.'},
  CELL_STOPPED: {code: 5002, level: 'info', text: 'This VM no longer acts for a cell.'},
  COMMIT_REJECTED: {code: 5020, level: 'error', text: 'The store rejected a task log write.'},
  JOB_ACCEPTED: {code: 5030, level: 'info', text: 'A job was accepted.'},
  JOB_CANCELLED: {code: 5031, level: 'info', text: 'A job was cancelled.'},
  JOB_IMPOSSIBLE: {code: 5032, level: 'warn', text: 'A job cannot run as things stand.'},
  LOG_MALFORMED: {
    code: 5021,
    level: 'error',
    text: "A cell's log holds a value that can't be read.",
  },
  TASK_ENDED: {code: 5012, level: 'info', text: 'A task has ended.'},
  TASK_EVICTED: {code: 5013, level: 'info', text: 'An attempt is to be checkpointed and stopped.'},
  TASK_STARTED: {code: 5014, level: 'info', text: 'A start of an attempt was sent to its worker.'},
  WORKER_REACHED: {code: 5040, level: 'info', text: 'A worker answers.'},
  WORKER_UNREACHED: {
    code: 5041,
    level: 'warn',
    text: 'A worker does not answer and gets no starts.',
  },
} satisfies Record<string, EventKind>;
