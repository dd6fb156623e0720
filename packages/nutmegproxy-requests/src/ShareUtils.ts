/** Splits a limit among the processes that keep it together. */

/**
 * The part of `total` that `me` may use. The parts of all holders add up to `total`.
 *
 * @example
 * splitShare(8, ['a', 'b', 'c'], 'a'); // 3
 */
export function splitShare(total: number, holders: readonly string[], me: string): number {
  const all = [...new Set([...holders, me])].sort();
  const extra = all.indexOf(me) < total % all.length ? 1 : 0;
  return Math.floor(total / all.length) + extra;
}
