/** Event definitions of the requests feature. */

import type {EventKind} from '@nutmegproxy/core';

export const REQUESTS_EVENTS = {
  CALLER_DISCONNECTED: {
    code: 4022,
    level: 'info',
    text: 'A caller disconnected; its request was cancelled.',
  },
  LISTEN_FAILED: {code: 4001, level: 'error', text: 'The listener for callers could not start.'},
  LISTENING: {code: 4000, level: 'info', text: 'Listening for callers.'},
  MALFORMED_REQUEST: {
    code: 4010,
    level: 'info',
    text: 'A caller sent an invalid HTTP request.',
  },
  MINION_EJECTED: {
    code: 4030,
    level: 'warn',
    text: 'A minion was ejected because it fails more often than its peers.',
  },
  MINION_LEAVING: {
    code: 4031,
    level: 'info',
    text: 'A minion’s response announces that it is leaving.',
  },
  MINION_RETURNED: {
    code: 4032,
    level: 'info',
    text: 'An ejected minion passed its trial request and receives requests again.',
  },
  REQUEST_FAILED: {
    code: 4020,
    level: 'warn',
    text: 'A request failed after it was sent to a minion; its outcome is unknown.',
  },
  REQUEST_INTERNAL_ERROR: {
    code: 4002,
    level: 'error',
    text: 'A request failed because of an internal error.',
  },
  REQUEST_REFUSED: {code: 4011, level: 'info', text: 'A request was refused and not run.'},
  REQUEST_RETRIED: {code: 4023, level: 'info', text: 'A request is being retried.'},
  RESPONSE_TRUNCATED: {
    code: 4021,
    level: 'warn',
    text: 'A minion’s response was truncated; the caller’s connection was aborted.',
  },
  SLOTS_BORROWED: {code: 4040, level: 'debug', text: 'Slots were borrowed from a peer.'},
  STOP_FINISHED: {
    code: 4052,
    level: 'info',
    text: 'All caller requests are complete; the listener is closed.',
  },
  STOP_REFUSING: {code: 4051, level: 'info', text: 'New caller requests are now refused.'},
  STOP_STARTED: {
    code: 4050,
    level: 'info',
    text: 'A planned stop started: not ready, still accepting requests.',
  },
} satisfies Record<string, EventKind>;
