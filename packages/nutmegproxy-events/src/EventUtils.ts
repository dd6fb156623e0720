/** Guards what events may show. */

import type {EventFields} from '@nutmegproxy/core';

const HIDDEN = '[secret]';
const SECRET_NAME = /authorization|cookie|credential|passw|secret|token/i;

/**
 * Hides the values of fields whose names say that they hold a secret.
 *
 * @example
 * redact({operatorToken: 'abc', vm: 'entry-1'}); // {operatorToken: '[secret]', vm: 'entry-1'}
 */
export function redact(fields: EventFields): EventFields {
  const names = Object.keys(fields);
  if (!names.some((name) => SECRET_NAME.test(name))) {
    return fields;
  }
  return Object.fromEntries(
    names.map((name) => [name, SECRET_NAME.test(name) ? HIDDEN : fields[name]]),
  );
}
