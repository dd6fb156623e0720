/** Divides a limit among the processes that share it. */

/**
 * Returns the share of `total` that `self` may use. The shares of all members add up to `total`.
 *
 * @example
 * computeShare(8, ['a', 'b', 'c'], 'a'); // 3
 */
export function computeShare(total: number, members: readonly string[], self: string): number {
  const sortedMembers = [...new Set([...members, self])].sort();
  const extra = sortedMembers.indexOf(self) < total % sortedMembers.length ? 1 : 0;
  return Math.floor(total / sortedMembers.length) + extra;
}
