/** Numbered events of membership. */

import type {EventKind} from '@nutmegproxy/core';

export const MEMBERSHIP_EVENTS = {
  CELL_ACQUIRED: {code: 2305, level: 'info', text: 'This process owns a cell of workers now.'},
  CELL_LOST: {code: 2306, level: 'info', text: 'This process no longer owns a cell of workers.'},
  DENIED: {
    code: 2307,
    level: 'info',
    text: 'This process will not vouch for a member any more, because its tenure key is gone.',
  },
  JOINED: {code: 2300, level: 'info', text: 'This process has joined the allotment record.'},
  LEFT: {code: 2301, level: 'info', text: 'This process has left the allotment record as planned.'},
  MEMBER_REMOVED: {
    code: 2302,
    level: 'warn',
    text: 'A member whose tenure had ended was removed from the allotment record.',
  },
  PERIODS_DIFFER: {
    code: 2311,
    level: 'error',
    text: 'This process does not join: its timings differ from those of the members.',
  },
  RECORD_INVALID: {
    code: 2309,
    level: 'error',
    text: 'The allotment record in the store does not fit its schema; it is left untouched.',
  },
  REMOVED: {
    code: 2308,
    level: 'error',
    text: 'This process was removed from the allotment record; it begins again as a new incarnation.',
  },
  TENURE_GAINED: {code: 2303, level: 'info', text: 'This process holds tenure.'},
  TENURE_LOST: {
    code: 2304,
    level: 'warn',
    text: 'This process holds tenure no longer; it starts nothing until it regains it.',
  },
} satisfies Record<string, EventKind>;
