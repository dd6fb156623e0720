/** Events of jobs, runs and minion quarantines. */

import type {EventKind} from '@nutmegproxy/core';

export const SCHEDULING_EVENTS = {
  CRASH_EXCUSED: {
    code: 8019,
    level: 'info',
    text: 'The crash of a minion no longer speaks against a task: a machine failed at that time, or this one by itself.',
  },
  CRASHED_RUNS: {code: 8023, level: 'info', text: 'Runs that a minion had when it crashed.'},
  JOB_CANCELLED: {code: 8003, level: 'info', text: 'A job was cancelled; its runs are stopped.'},
  JOB_COMPLETED: {
    code: 8001,
    isFrequent: true,
    level: 'info',
    text: 'All tasks of a job are completed.',
  },
  JOB_FAILED: {
    code: 8002,
    level: 'warn',
    text: 'A job failed: one of its tasks failed as often as its queue allows.',
  },
  LONG_RUNNING_JOB_WAITING: {
    code: 8024,
    level: 'info',
    text: 'A long-running job waits to start: the room for such jobs is used, or no minion fits.',
  },
  MINION_CRASHED: {
    code: 8022,
    level: 'warn',
    text: 'A minion crashed; the cause was attributed to its machine or to its suspect runs.',
  },
  MINION_QUARANTINED: {
    code: 8020,
    level: 'warn',
    text: 'A minion was quarantined because its runs fail or stall; it temporarily gets no work.',
  },
  MINION_TRUSTED: {
    code: 8021,
    level: 'info',
    text: 'A minion is trusted again: a run succeeded or goes on, or what a former owner stored has ended.',
  },
  MINION_UNTRUSTED: {
    code: 8026,
    level: 'warn',
    text: 'A minion has not been trusted for a long time: its level, and what it runs.',
  },
  RUN_ENDED: {code: 8011, isFrequent: true, level: 'info', text: 'A run ended.'},
  RUN_LOST: {code: 8013, level: 'warn', text: 'A run ended without a reported result.'},
  RUN_PLACED: {code: 8010, isFrequent: true, level: 'info', text: 'A task was placed on a minion.'},
  RUN_STOPPED: {
    code: 8014,
    isFrequent: true,
    level: 'info',
    text: 'A stop of a run was requested.',
  },
  RUNS_ADOPTED: {
    code: 8012,
    isFrequent: true,
    level: 'info',
    text: 'Runs of a minion that this owner did not start were adopted.',
  },
  SERVING_NEAR_TARGET: {
    code: 8029,
    level: 'info',
    text: 'A serving task is near or over its target beside backfill: since when, and what is let work there.',
  },
  TASK_CRASHED_MINION: {
    code: 8015,
    level: 'warn',
    text: 'A task is suspected of the crash of its minion, or may be if another one crashes.',
  },
  TASK_RESTRAINED: {
    code: 8028,
    level: 'error',
    text: 'Minions crash under a task, hardly by chance: it starts only alone and after pauses, and not for minutes once it counts as deadly.',
  },
  TASK_WITHHELD: {
    code: 8025,
    level: 'info',
    text: 'A task of a long-running job does not run: what it waits for and for how long.',
  },
  TASKS_PENDING: {
    code: 8027,
    level: 'info',
    text: 'How many tasks that are not long-running do not run for over 3 s after their turn came, and why.',
  },
  TRIAL_PASSED: {
    code: 8017,
    level: 'info',
    text: 'A suspected task was started and its minion did not crash.',
  },
  TRIAL_STARTED: {
    code: 8016,
    level: 'info',
    text: 'A suspected task was started on trial; its minion gets no other work meanwhile, unless the task had waited for long.',
  },
} satisfies Record<string, EventKind>;
