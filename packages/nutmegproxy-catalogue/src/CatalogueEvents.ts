/** Events of the catalogue. */

import type {EventKind} from '@nutmegproxy/core';

export const CATALOGUE_EVENTS = {
  APPLIED: {code: 3000, level: 'info', text: 'catalogue revision applied'},
  COMMITTED: {code: 3001, level: 'info', text: 'catalogue change accepted'},
  CONFLICT: {
    code: 3002,
    level: 'info',
    text: 'catalogue change rejected: another change was accepted first',
  },
  MALFORMED: {code: 3005, level: 'error', text: 'catalogue data does not match the schema'},
  RESPONSE_LOST: {
    code: 3003,
    level: 'warn',
    text: 'no response to a catalogue commit; its outcome is unknown',
  },
  STORE_BEHIND: {
    code: 3006,
    level: 'error',
    text: 'ignored a lower catalogue revision in the store',
  },
  STORE_UNREACHABLE: {code: 3004, level: 'warn', text: 'cannot read the catalogue from the store'},
} satisfies Record<string, EventKind>;
