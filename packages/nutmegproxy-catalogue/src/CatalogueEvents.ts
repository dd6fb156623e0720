/** Events of the catalogue. */

import type {EventKind} from '@nutmegproxy/core';

export const CATALOGUE_EVENTS = {
  APPLIED: {code: 3000, level: 'info', text: 'catalogue revision is in force'},
  COMMITTED: {code: 3001, level: 'info', text: 'catalogue change accepted'},
  CONFLICT: {
    code: 3002,
    level: 'info',
    text: 'catalogue change refused: another was accepted before',
  },
  MALFORMED: {code: 3005, level: 'error', text: 'catalogue data does not fit the schema'},
  RESPONSE_LOST: {
    code: 3003,
    level: 'warn',
    text: 'answer to a catalogue change was lost; reading back',
  },
  STORE_BEHIND: {
    code: 3006,
    level: 'error',
    text: 'store holds a lower catalogue revision; it is not applied',
  },
  STORE_UNREACHABLE: {code: 3004, level: 'warn', text: 'catalogue can not be read from the store'},
} satisfies Record<string, EventKind>;
