/**
 * Returns the position of the first element of a list that is not before what is looked for; the list's length if all
 * are before it. These have to come first.
 *
 * @example
 * findFirstIndex([1, 3, 5], (each) => each < 3); // 1
 */
export function findFirstIndex<T>(list: readonly T[], isBefore: (each: T) => boolean): number {
  let start = 0;
  let end = list.length;
  while (start < end) {
    const middle = (start + end) >>> 1;
    if (isBefore(list[middle] as T)) {
      start = middle + 1;
    } else {
      end = middle;
    }
  }
  return start;
}
