/** Events of the store client. */

import type {EventKind} from '@nutmegproxy/core';

export const STORE_EVENTS = {
  CALL_FAILED: {code: 2000, level: 'warn', text: 'The store stopped answering calls.'},
  CALL_RECOVERED: {code: 2001, level: 'info', text: 'The store answers calls again.'},
  WATCH_BROKEN: {code: 2003, level: 'warn', text: 'A watch lost events and is restarted.'},
  WATCH_DISCONNECTED: {
    code: 2002,
    level: 'info',
    text: 'A watch was disconnected and is being reopened.',
  },
} satisfies Record<string, EventKind>;
