/** Events of membership. */

import type {EventKind} from '@nutmegproxy/core';

export const MEMBERSHIP_EVENTS = {
  CELL_ACQUIRED: {code: 2305, level: 'info', text: 'This process has acquired a cell of workers.'},
  CELL_LOST: {code: 2306, level: 'info', text: 'This process no longer owns a cell of workers.'},
  DENIED: {
    code: 2307,
    level: 'info',
    text: 'This process will no longer vouch for a member, because its tenure key is missing.',
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
    text: 'This process cannot join: its membership periods differ from those of the members.',
  },
  RECORD_INVALID: {
    code: 2309,
    level: 'error',
    text: 'The allotment record in the store does not match its schema; it is left unchanged.',
  },
  REMOVED: {
    code: 2308,
    level: 'error',
    text: 'This process was removed from the allotment record; it restarts as a new incarnation.',
  },
  TENURE_GAINED: {code: 2303, level: 'info', text: 'This process holds tenure.'},
  TENURE_LOST: {
    code: 2304,
    level: 'warn',
    text: 'This process has lost tenure; it starts no work until it holds tenure again.',
  },
} satisfies Record<string, EventKind>;
