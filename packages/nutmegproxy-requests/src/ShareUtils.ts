/** Splits a limit among the processes that keep it together. */

/**
 * The part of `total` that `me` may use. The parts of all holders add up to `total`.
 *
 * @example
 * splitShare(8, ['a', 'b', 'c'], 'a'); // 3
 */
export function computeShare(total: number, members: readonly string[], self: string): number {
  const sortedMembers = [...new Set([...members, self])].sort();
  const extra = sortedMembers.indexOf(self) < total % sortedMembers.length ? 1 : 0;
  return Math.floor(total / sortedMembers.length) + extra;
}
