/** Events of the process's life. */

import type {EventKind} from '@nutmegproxy/core';

export const CLI_EVENTS = {
  INVARIANT_BROKEN: {code: 6104, level: 'error', text: 'invariant is broken; the process ends'},
  SERVING: {code: 6100, level: 'info', text: 'process is serving'},
  STARTING: {code: 6101, level: 'info', text: 'process is starting'},
  STOP_OVERDUE: {code: 6105, level: 'error', text: 'planned stop took too long; the process ends'},
  STOPPED: {code: 6103, level: 'info', text: 'planned stop is complete'},
  STOPPING: {code: 6102, level: 'info', text: 'planned stop has begun'},
} satisfies Record<string, EventKind>;
