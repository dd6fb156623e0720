/** Events of jobs, runs and minion quarantines. */

import type {EventKind} from '@nutmegproxy/core';

export const SCHEDULING_EVENTS = {
  JOB_CANCELLED: {code: 8003, level: 'info', text: 'A job was cancelled; its runs are stopped.'},
  JOB_COMPLETED: {code: 8001, level: 'info', text: 'All tasks of a job are completed.'},
  JOB_FAILED: {
    code: 8002,
    level: 'warn',
    text: 'A job failed: one of its tasks failed as often as its queue allows.',
  },
  MINION_QUARANTINED: {
    code: 8020,
    level: 'warn',
    text: 'A minion was quarantined because its runs fail or stall; it temporarily gets no work.',
  },
  MINION_TRUSTED: {
    code: 8021,
    level: 'info',
    text: 'The quarantine of a minion ended after a successful run.',
  },
  RUN_ENDED: {code: 8011, level: 'info', text: 'A run ended.'},
  RUN_LOST: {code: 8013, level: 'warn', text: 'A run ended without a reported result.'},
  RUN_PLACED: {code: 8010, level: 'info', text: 'A task was placed on a minion.'},
  RUN_STOPPED: {code: 8014, level: 'info', text: 'A stop of a run was requested.'},
  RUNS_ADOPTED: {
    code: 8012,
    level: 'info',
    text: 'Runs of a minion that this owner did not start were adopted.',
  },
} satisfies Record<string, EventKind>;
