/** Lifecycle events of the process. */

import type {EventKind} from '@nutmegproxy/core';

export const CLI_EVENTS = {
  INVARIANT_BROKEN: {
    code: 6104,
    level: 'error',
    text: 'invariant violation or uncaught error; the process exits',
  },
  SERVING: {code: 6100, level: 'info', text: 'process is serving'},
  STARTING: {code: 6101, level: 'info', text: 'process is starting'},
  STOP_OVERDUE: {
    code: 6105,
    level: 'error',
    text: 'planned stop timed out; the process closes without waiting for open work',
  },
  STOPPED: {code: 6103, level: 'info', text: 'planned stop completed'},
  STOPPING: {code: 6102, level: 'info', text: 'planned stop started'},
} satisfies Record<string, EventKind>;
