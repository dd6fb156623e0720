/** Events of the owner of the fleet. */

import type {EventKind} from '@nutmegproxy/core';

export const OWNER_EVENTS = {
  ADVICE_FAILED: {code: 8151, level: 'warn', text: 'The advising service gave no answer.'},
  ADVICE_RECEIVED: {code: 8150, level: 'info', text: 'A step is permitted on some minions.'},
  FLEET_SUMMARY: {code: 8140, level: 'info', text: 'Room and work of the fleet.'},
  JOB_DISCOVERED: {code: 8120, level: 'info', text: 'The owner learned of an accepted job.'},
  JOBS_REMOVED: {
    code: 8112,
    level: 'info',
    text: 'Records of jobs that ended long ago were removed.',
  },
  JOURNAL_FAILED: {code: 8111, level: 'warn', text: 'Progress could not be written to the store.'},
  JOURNAL_WRITTEN: {code: 8110, level: 'info', text: 'Progress of jobs was written to the store.'},
  LEASE_EXPIRED: {code: 8131, level: 'warn', text: 'Every hold on a silent minion has lapsed.'},
  MINION_CHANGED: {code: 8132, level: 'info', text: 'A minion joined, changed or left the list.'},
  MINION_REACHED: {code: 8133, level: 'info', text: 'A minion answers.'},
  MINION_RESTARTED: {code: 8134, level: 'warn', text: 'A minion began a new life.'},
  MINION_UNREACHABLE: {code: 8135, level: 'warn', text: 'A minion does not answer.'},
  ORDER_FAILED: {code: 8130, level: 'warn', text: 'A minion did not carry out an order.'},
  OWNERSHIP_ACQUIRED: {code: 8101, level: 'info', text: 'This VM owns the fleet.'},
  OWNERSHIP_LOST: {code: 8102, level: 'warn', text: 'This VM no longer owns the fleet.'},
  OWNERSHIP_UNCONFIRMED: {
    code: 8103,
    level: 'warn',
    text: 'The lease could not be renewed; the owner acts on for a while.',
  },
  RECORD_MALFORMED: {code: 8121, level: 'error', text: "A record of the store can't be read."},
  RECOVERY_DONE: {code: 8104, level: 'info', text: 'All minions are accounted for.'},
  RECOVERY_STARTED: {code: 8105, level: 'info', text: 'The owner reads jobs and lists minions.'},
  STORE_CALL_FAILED: {code: 8122, level: 'warn', text: 'The store could not be followed.'},
} satisfies Record<string, EventKind>;
