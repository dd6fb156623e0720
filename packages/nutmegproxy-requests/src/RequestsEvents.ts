/** Numbered events of the requests feature. */

import type {EventKind} from '@nutmegproxy/core';

export const REQUESTS_EVENTS = {
  CALLER_DISCONNECTED: {
    code: 4022,
    level: 'info',
    text: 'A caller went away; its request was cancelled.',
  },
  LISTEN_FAILED: {code: 4001, level: 'error', text: 'The listener for callers could not start.'},
  LISTENING: {code: 4000, level: 'info', text: 'Listening for callers.'},
  MALFORMED_REQUEST: {
    code: 4010,
    level: 'info',
    text: 'A caller sent what is no valid HTTP request.',
  },
  MINION_EJECTED: {
    code: 4030,
    level: 'warn',
    text: 'A minion fails more than its peers and gets no requests for a while.',
  },
  MINION_LEAVING: {code: 4031, level: 'info', text: 'A minion’s answer says that it is leaving.'},
  MINION_RETURNED: {
    code: 4032,
    level: 'info',
    text: 'An ejected minion answered its trial and gets requests again.',
  },
  REQUEST_FAILED: {
    code: 4020,
    level: 'warn',
    text: 'A request was sent to a minion and failed; its outcome is unknown.',
  },
  REQUEST_INTERNAL_ERROR: {
    code: 4002,
    level: 'error',
    text: 'A request failed through a defect of this program.',
  },
  REQUEST_REFUSED: {code: 4011, level: 'info', text: 'A request was answered as not run.'},
  REQUEST_RETRIED: {code: 4023, level: 'info', text: 'A request is tried again.'},
  RESPONSE_TRUNCATED: {
    code: 4021,
    level: 'warn',
    text: 'A minion’s answer broke off; the caller’s connection was aborted.',
  },
  SLOTS_BORROWED: {code: 4040, level: 'debug', text: 'Slots were borrowed from a peer.'},
  STOP_FINISHED: {code: 4052, level: 'info', text: 'All requests of callers have ended.'},
  STOP_REFUSING: {code: 4051, level: 'info', text: 'New requests are refused from now on.'},
  STOP_STARTED: {
    code: 4050,
    level: 'info',
    text: 'A planned stop began: not ready, still accepting requests.',
  },
} satisfies Record<string, EventKind>;
