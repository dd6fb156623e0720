/** Redaction of secrets in event fields. */

import type {EventFields} from '@nutmegproxy/core';

const REDACTED_VALUE = '[secret]';
const SECRET_NAME_PATTERN = /authorization|cookie|credential|passw|secret|token/i;

/**
 * Replaces the values of fields whose names suggest a secret.
 *
 * @example
 * redact({operatorToken: 'abc', vm: 'entry-1'}); // {operatorToken: '[secret]', vm: 'entry-1'}
 */
export function redact(fields: EventFields): EventFields {
  const names = Object.keys(fields);
  if (!names.some((name) => SECRET_NAME_PATTERN.test(name))) {
    return fields;
  }
  return Object.fromEntries(
    names.map((name) => [name, SECRET_NAME_PATTERN.test(name) ? REDACTED_VALUE : fields[name]]),
  );
}
