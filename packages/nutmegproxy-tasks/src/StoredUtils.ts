/** Parsing and validation of stored values. */

import type {Validator} from '@nutmegproxy/schema';
import type {StoredValue} from '@nutmegproxy/store';

/**
 * Parses the value of a key. Returns undefined when the key is absent or its value does not match
 * the schema.
 *
 * @example
 * const header = parseStoredValue(stored, validateSnapshotHeader);
 */
export function parseStoredValue<Value>(
  stored: StoredValue | undefined,
  validate: Validator<Value>,
): undefined | Value {
  return stored ? parseJson(stored.value.toString(), validate) : undefined;
}

/** Parses JSON; returns undefined when it is malformed or does not match the schema. */
export function parseJson<Value>(text: string, validate: Validator<Value>): undefined | Value {
  try {
    const value: unknown = JSON.parse(text);
    return validate(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
