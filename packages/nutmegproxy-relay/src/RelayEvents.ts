/** Events of relays and of the owner's links to them. */

import type {EventKind} from '@nutmegproxy/core';

export const RELAY_EVENTS = {
  BATCH_LATE: {
    code: 8163,
    level: 'warn',
    text: 'A relay dropped orders that were held up on their way, and closed the link.',
  },
  LINK_LOST: {
    code: 8161,
    level: 'warn',
    text: 'A link to a relay was lost; the owner sends the open orders itself.',
  },
  LINK_OPEN: {code: 8160, level: 'info', text: 'A link to a relay was opened.'},
  LISTENER_FAILED: {code: 8166, level: 'error', text: "A relay's listener failed."},
  MESSAGE_MALFORMED: {
    code: 8162,
    level: 'warn',
    text: 'A message between an owner and a relay was malformed; the link is closed.',
  },
  OWNER_LINKED: {code: 8164, level: 'info', text: 'An owner uses this VM as a relay.'},
  OWNER_UNLINKED: {code: 8165, level: 'info', text: 'An owner no longer uses this VM as a relay.'},
} as const satisfies Record<string, EventKind>;
