/** Events of the administration API. */

import type {EventKind} from '@nutmegproxy/core';

export const ADMIN_EVENTS = {
  DENIED: {
    code: 6001,
    level: 'warn',
    text: 'administration request without a valid operator token rejected',
  },
  FAILED: {code: 6002, level: 'error', text: 'administration request failed'},
  LISTENING: {code: 6000, level: 'info', text: 'administration API is listening'},
} satisfies Record<string, EventKind>;
