/** Reading checked values from the store. */

import type {Validator} from '@nutmegproxy/schema';
import type {StoredValue} from '@nutmegproxy/store';

/**
 * The value of a key, or undefined when the key is absent or its value does not match the schema.
 *
 * @example
 * const header = parseStored(stored, validateSnapshotHeader);
 */
export function parseStoredValue<Value>(
  stored: StoredValue | undefined,
  validate: Validator<Value>,
): undefined | Value {
  return stored ? parseJson(stored.value.toString(), validate) : undefined;
}

/** Parses JSON against a schema. */
export function parseJson<Value>(text: string, validate: Validator<Value>): undefined | Value {
  try {
    const value: unknown = JSON.parse(text);
    return validate(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
