/** Objects without undefined properties, as messages and records need them. */

type UndefinedKeys<Value> = {
  [Key in keyof Value]: undefined extends Value[Key] ? Key : never;
}[keyof Value];

/** `Value` with each property that may be undefined made optional. */
export type WithoutUndefined<Value> = Omit<Value, UndefinedKeys<Value>> & {
  [Key in UndefinedKeys<Value>]?: Exclude<Value[Key], undefined>;
};

/**
 * A copy of an object without its undefined properties.
 *
 * @example
 * const message = defined({entry: 'digest', input: undefined}); // {entry: 'digest'}
 */
export function omitUndefined<Value extends object>(value: Value): WithoutUndefined<Value> {
  const entries = Object.entries(value).filter(([, each]) => each !== undefined);
  return Object.fromEntries(entries) as WithoutUndefined<Value>;
}

/**
 * Remembers what was computed for an object for as long as the object lives; for arguments that are
 * never changed in place.
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
