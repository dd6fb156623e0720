/** Redaction of secrets in event fields. */

import type {EventFields} from '@nutmegproxy/core';

const REDACTED_VALUE = '[secret]';
const SECRET_NAME_PATTERN = /authorization|cookie|credential|passw|secret|token/i;
/** Maximum number of names whose classification is kept; events have far fewer. */
const MAX_KEPT_NAMES = 1_000;

const keptNames = new Map<string, boolean>();

/** Whether the name of a field suggests a secret. */
function isSecretName(name: string): boolean {
  const kept = keptNames.get(name);
  if (kept !== undefined) {
    return kept;
  }
  const isSecret = SECRET_NAME_PATTERN.test(name);
  if (keptNames.size < MAX_KEPT_NAMES) {
    keptNames.set(name, isSecret);
  }
  return isSecret;
}

/**
 * Replaces the values of fields whose names suggest a secret.
 *
 * @example
 * redact({operatorToken: 'abc', vm: 'entry-1'}); // {operatorToken: '[secret]', vm: 'entry-1'}
 */
export function redact(fields: EventFields): EventFields {
  const names = Object.keys(fields);
  if (!names.some(isSecretName)) {
    return fields;
  }
  return Object.fromEntries(
    names.map((name) => [name, isSecretName(name) ? REDACTED_VALUE : fields[name]]),
  );
}
