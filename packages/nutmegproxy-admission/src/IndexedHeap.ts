/** Binary heap of distinct keys whose priorities can change. */

import {invariant} from '@nutmegproxy/core';

interface Item<Key> {
  readonly key: Key;
  order: number;
  priority: number;
}

/** Orders keys by ascending priority, and by insertion for equal priorities. */
export class IndexedHeap<Key> {
  readonly #items: Item<Key>[] = [];
  #nextOrder = 0;
  readonly #positions = new Map<Key, number>();

  delete(key: Key): boolean {
    const position = this.#positions.get(key);
    if (position === undefined) {
      return false;
    }
    this.#positions.delete(key);
    const last = this.#items.pop();
    if (last !== undefined && last.key !== key) {
      this.#items[position] = last;
      this.#positions.set(last.key, position);
      this.#sift(position);
    }
    return true;
  }

  has(key: Key): boolean {
    return this.#positions.has(key);
  }

  peek(): undefined | {readonly key: Key; readonly priority: number} {
    return this.#items[0];
  }

  /** Adds a key or changes its priority. */
  set(key: Key, priority: number): void {
    const position = this.#positions.get(key);
    if (position === undefined) {
      this.#items.push({key, order: this.#nextOrder, priority});
      this.#nextOrder += 1;
      this.#positions.set(key, this.#items.length - 1);
      this.#sift(this.#items.length - 1);
      return;
    }
    const item = this.#at(position);
    if (item.priority !== priority) {
      item.priority = priority;
      this.#sift(position);
    }
  }

  get size(): number {
    return this.#items.length;
  }

  #at(position: number): Item<Key> {
    const item = this.#items[position];
    invariant(item !== undefined, 'admission: heap position out of bounds');
    return item;
  }

  #precedes(a: number, b: number): boolean {
    const left = this.#at(a);
    const right = this.#at(b);
    return (
      left.priority < right.priority ||
      (left.priority === right.priority && left.order < right.order)
    );
  }

  #sift(start: number): void {
    let position = start;
    while (position > 0 && this.#precedes(position, (position - 1) >> 1)) {
      position = this.#swap(position, (position - 1) >> 1);
    }
    for (;;) {
      const child = this.#firstChild(position);
      if (child === undefined || !this.#precedes(child, position)) {
        return;
      }
      position = this.#swap(position, child);
    }
  }

  #firstChild(position: number): number | undefined {
    const left = 2 * position + 1;
    if (left >= this.#items.length) {
      return undefined;
    }
    const right = left + 1;
    return right < this.#items.length && this.#precedes(right, left) ? right : left;
  }

  #swap(from: number, to: number): number {
    const moved = this.#at(from);
    const other = this.#at(to);
    this.#items[to] = moved;
    this.#items[from] = other;
    this.#positions.set(moved.key, to);
    this.#positions.set(other.key, from);
    return to;
  }
}
