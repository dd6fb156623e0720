/** Events of an entry VM. */

import type {EventKind} from '@nutmegproxy/core';

export const ENTRY_EVENTS = {
  CALL_FORWARDED: {
    code: 8215,
    isFrequent: true,
    level: 'info',
    text: 'A request was forwarded to an entry VM that may reach the store.',
  },
  CALL_REFUSED: {
    code: 8210,
    isFrequent: true,
    level: 'info',
    text: 'This VM could not serve a request itself.',
  },
  CALLERS_LEFT: {
    code: 8219,
    level: 'warn',
    text: 'This VM leaves new callers to another data centre, or no longer does.',
  },
  CALLS_COUNTED: {code: 8218, level: 'info', text: "Callers' requests of the last seconds."},
  CANCEL_ACCEPTED: {
    code: 8213,
    isFrequent: true,
    level: 'info',
    text: 'The cancellation of a job was recorded.',
  },
  CANCELLED_EARLY: {
    code: 8228,
    isFrequent: true,
    level: 'info',
    text: 'A job that is not stored was cancelled; a submission of it that is under way stores nothing.',
  },
  CELL_COUNT_MALFORMED: {
    code: 8224,
    level: 'error',
    text: 'The stored number of cells is malformed; this VM serves nothing until it is replaced.',
  },
  CELLS_CHOSEN: {
    code: 8225,
    level: 'info',
    text: 'This VM has decided into how many cells a new fleet is divided.',
  },
  CONFIGURATION_APPLIED: {code: 8201, level: 'info', text: 'A configuration was applied.'},
  CONFIGURATION_READ_FAILED: {
    code: 8207,
    level: 'warn',
    text: 'The configuration could not be read; it is read again.',
  },
  CONFIGURATION_WATCH_BROKEN: {
    code: 8208,
    level: 'info',
    text: 'The watch of the configuration broke; the newest configuration is read.',
  },
  JOB_ACCEPTED: {
    code: 8211,
    isFrequent: true,
    level: 'info',
    text: 'A job was stored and accepted.',
  },
  JOB_ALREADY_STORED: {
    code: 8212,
    isFrequent: true,
    level: 'info',
    text: 'A job was submitted that was already stored.',
  },
  JOB_STATUS_RETURNED: {
    code: 8214,
    isFrequent: true,
    level: 'info',
    text: "A job's status was returned to its caller.",
  },
  PLACE_MALFORMED: {
    code: 8227,
    level: 'error',
    text: 'The stored place of a job is malformed; calls that need it are refused.',
  },
  PROCESS_STARTED: {code: 8202, level: 'info', text: 'The process has started.'},
  PROCESS_STOPPED: {code: 8204, level: 'info', text: 'The process is exiting.'},
  PROCESS_STOPPING: {code: 8203, level: 'info', text: 'A planned stop has begun.'},
  QUEUE_LENGTH_RETURNED: {
    code: 8216,
    isFrequent: true,
    level: 'info',
    text: "A queue's length was returned to a caller.",
  },
  ROUTE_NOT_FOUND: {
    code: 8217,
    isFrequent: true,
    level: 'info',
    text: 'A request matched no route of the configuration in effect.',
  },
  SETTINGS_REJECTED: {code: 8206, level: 'error', text: 'The settings file is not valid.'},
  SETTINGS_RELOADED: {code: 8205, level: 'info', text: 'The settings file was reloaded.'},
  STORE_RECOVERED: {code: 8221, level: 'info', text: 'The store answers again.'},
  STORE_UNAVAILABLE: {code: 8220, level: 'warn', text: 'The store does not answer.'},
  SUCCESSOR_AWAITED: {
    code: 8226,
    level: 'info',
    text: 'A VM that stops has kept its ownership until another VM could acquire it, or it was too late.',
  },
  VM_ENTRY_MALFORMED: {
    code: 8223,
    level: 'warn',
    text: 'An entry in the list of VMs is malformed.',
  },
  VM_REGISTRATION_FAILED: {
    code: 8222,
    level: 'warn',
    text: 'This VM could not update its entry in the list of VMs.',
  },
} satisfies Record<string, EventKind>;
