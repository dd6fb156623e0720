/** Events of the owner of the fleet. */

import type {EventKind} from '@nutmegproxy/core';

export const OWNER_EVENTS = {
  ADVICE_FAILED: {code: 8151, level: 'warn', text: 'A call to the advising service failed.'},
  ADVICE_RECEIVED: {
    code: 8150,
    level: 'info',
    text: 'The advising service answered on which minions a step may run.',
  },
  CELL_COUNT_CHANGED: {
    code: 8113,
    level: 'warn',
    text: 'Another number of cells is stored than this VM goes by; it ends its ownerships and reads the number again.',
  },
  CLOSING_RECORD_RECEIVED: {
    code: 8106,
    level: 'info',
    text: 'The owner received what minions may run from the owner before.',
  },
  CLOSING_RECORD_STORED: {
    code: 8107,
    level: 'info',
    text: 'A former owner stored what minions may run as of the end of its ownership.',
  },
  CLOSING_RECORD_UNUSED: {
    code: 8109,
    level: 'warn',
    text: 'A stored closing record is not used: a later owner may have used minions without a record.',
  },
  FLEET_SUMMARY: {code: 8140, level: 'info', text: 'Capacity and workload of the fleet.'},
  FORMER_CELL_COUNT: {
    code: 8114,
    level: 'warn',
    text: 'A free cell is not acquired while another VM owns a cell under another number of cells.',
  },
  JOB_DISCOVERED: {
    code: 8120,
    isFrequent: true,
    level: 'info',
    text: 'The owner received an accepted job.',
  },
  JOBS_READ: {
    code: 8123,
    isFrequent: true,
    level: 'info',
    text: 'Accepted jobs that the owner read at the start of its term, or after its watch broke.',
  },
  JOBS_REMOVED: {
    code: 8112,
    level: 'info',
    text: 'Records of ended jobs were removed after their retention time.',
  },
  JOURNAL_FAILED: {
    code: 8111,
    level: 'warn',
    text: "A write of the owner's records to the store failed.",
  },
  JOURNAL_WRITTEN: {
    code: 8110,
    isFrequent: true,
    level: 'info',
    text: 'Job progress was written to the store.',
  },
  LEASE_EXPIRED: {
    code: 8131,
    level: 'warn',
    text: 'The lease of a silent minion has expired; its runs are over.',
  },
  LONG_TURN: {
    code: 8145,
    level: 'warn',
    text: 'A turn of the event loop took long; timers and calls waited meanwhile.',
  },
  MINION_CHANGED: {
    code: 8132,
    level: 'info',
    text: 'A minion was listed, changed, unlisted or removed.',
  },
  MINION_GONE: {
    code: 8141,
    level: 'info',
    text: 'The machine of a silent minion runs another one or is gone; the runs of the minion are over.',
  },
  MINION_REACHED: {code: 8133, isFrequent: true, level: 'info', text: 'A minion answers calls.'},
  MINION_RESTARTED: {
    code: 8134,
    level: 'warn',
    text: 'A minion has restarted; runs of its former incarnation are lost.',
  },
  MINION_UNREACHABLE: {code: 8135, level: 'warn', text: 'A minion does not answer calls.'},
  MINIONS_LISTED: {code: 8136, level: 'info', text: 'The owner read the list of minions.'},
  ORDER_FAILED: {code: 8130, level: 'warn', text: 'A minion rejected an order.'},
  OWNERSHIP_ACQUIRED: {
    code: 8101,
    level: 'info',
    text: 'This VM has acquired the ownership of the fleet.',
  },
  OWNERSHIP_LOST: {code: 8102, level: 'warn', text: 'This VM no longer owns the fleet.'},
  OWNERSHIP_UNCONFIRMED: {
    code: 8103,
    level: 'warn',
    text: 'The ownership lease could not be renewed; the owner keeps acting for a limited time.',
  },
  RECORD_MALFORMED: {code: 8121, level: 'error', text: 'A record in the store is malformed.'},
  RECOVERY_DONE: {
    code: 8104,
    level: 'info',
    text: 'Recovery is complete: every minion has reported, or its lease has expired.',
  },
  RECOVERY_STARTED: {
    code: 8105,
    level: 'info',
    text: 'Recovery has started: the owner reads jobs and minions.',
  },
  RECOVERY_WAITING: {
    code: 8108,
    level: 'info',
    text: 'Recovery waits for minions that have neither reported nor lost their lease.',
  },
  RESTART_DENIED: {
    code: 8142,
    level: 'warn',
    text: 'A minion responds with its former start time, so a later one in its entry is ignored.',
  },
  RESULTS_OMITTED: {
    code: 8143,
    level: 'warn',
    text: 'A minion may have more unacknowledged results than it lists; tasks without a result wait for it.',
  },
  SESSION_FAILED: {
    code: 8139,
    level: 'error',
    text: 'The session of a minion met an unexpected error; its next poll follows.',
  },
  START_GIVEN_UP: {
    code: 8137,
    level: 'info',
    text: 'A start was given up, since its minion has shrunk since the task was placed.',
  },
  STORE_CALL_FAILED: {code: 8122, level: 'warn', text: 'A call to the store or a watch failed.'},
  TASKS_WITHHELD: {
    code: 8144,
    level: 'info',
    text: 'How many tasks of long-running jobs do not run and why, and what the owner did since the last such line.',
  },
  TRIAL_NOT_STORED: {
    code: 8138,
    level: 'warn',
    text: 'The start of a suspected task could not be stored in time; it is not sent.',
  },
} satisfies Record<string, EventKind>;
