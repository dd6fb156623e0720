/** Utilities for objects: copies without undefined properties, and memoization. */

type UndefinedKeys<Value> = {
  [Key in keyof Value]: undefined extends Value[Key] ? Key : never;
}[keyof Value];

/** `Value` with each property that may be undefined made optional. */
export type WithoutUndefined<Value> = Omit<Value, UndefinedKeys<Value>> & {
  [Key in UndefinedKeys<Value>]?: Exclude<Value[Key], undefined>;
};

/**
 * Returns a copy of an object without its undefined properties, as messages and records require.
 *
 * @example
 * const message = omitUndefined({entry: 'digest', input: undefined}); // {entry: 'digest'}
 */
export function omitUndefined<Value extends object>(value: Value): WithoutUndefined<Value> {
  const entries = Object.entries(value).filter(([, each]) => each !== undefined);
  return Object.fromEntries(entries) as WithoutUndefined<Value>;
}

/**
 * Caches the result for each argument object until the object is garbage-collected. Arguments must
 * not be mutated.
 *
 * @example
 * const countVms = memoizeByIdentity((vms: readonly Vm[]) => vms.length);
 */
export function memoizeByIdentity<Key extends object, Value>(
  compute: (key: Key) => Value,
): (key: Key) => Value {
  const values = new WeakMap<Key, {readonly value: Value}>();
  return (key) => {
    const cached = values.get(key) ?? {value: compute(key)};
    values.set(key, cached);
    return cached.value;
  };
}
