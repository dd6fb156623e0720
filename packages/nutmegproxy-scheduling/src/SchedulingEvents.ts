/** Events of the decisions on jobs and runs. */

import type {EventKind} from '@nutmegproxy/core';

export const SCHEDULING_EVENTS = {
  JOB_CANCELLED: {code: 8003, level: 'info', text: 'A job was cancelled; its runs are stopped.'},
  JOB_COMPLETED: {code: 8001, level: 'info', text: 'All tasks of a job are done.'},
  JOB_FAILED: {code: 8002, level: 'warn', text: 'A task has failed as often as its queue allows.'},
  MINION_QUARANTINED: {
    code: 8020,
    level: 'warn',
    text: 'A minion fails or stalls what it starts and gets no work for a while.',
  },
  MINION_TRUSTED: {
    code: 8021,
    level: 'info',
    text: 'A quarantined minion did well on its trial run.',
  },
  RUN_ADOPTED: {code: 8012, level: 'info', text: "A former owner's run was taken over."},
  RUN_ENDED: {code: 8011, level: 'info', text: 'A run has ended.'},
  RUN_LOST: {code: 8013, level: 'warn', text: 'A run is over though its minion listed no end.'},
  RUN_PLACED: {code: 8010, level: 'info', text: 'A task was placed on a minion.'},
  RUN_STOPPED: {code: 8014, level: 'info', text: 'A stop of a run was ordered.'},
} satisfies Record<string, EventKind>;
