/**
 * Writes a value as often as it changes, one write at a time, and tells each change when it is stored.
 * A change does not wait for later ones: they would keep it waiting for as long as they follow one
 * another faster than the store responds.
 */

import {delay} from '@nutmegproxy/core';

import type {WriteOutcome} from './OwnerRecord.ts';

import {JOURNAL_RETRY_MS} from './OwnerConstants.ts';

export interface RecordWriterOptions {
  /** Called once when another VM owns the fleet; nothing is written after it. */
  readonly onFenced: () => void;
  /** Tries once to write the value as it is at the call. */
  readonly write: () => Promise<WriteOutcome>;
}

/** Caller that waits until the stored value contains the changes up to one. */
interface Waiter {
  readonly change: number;
  readonly resolve: () => void;
}

export class RecordWriter {
  /** Number of changes made so far. */
  #changes = 0;
  #isWriting = false;
  readonly #options: RecordWriterOptions;
  #stopped = false;
  /** Number of the last change that the stored value certainly contains. */
  #stored = 0;
  #waiters: Waiter[] = [];

  constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /** Begins no more writes; the promises of changes that are not stored then stay pending. */
  close(): void {
    this.#stopped = true;
  }

  /**
   * Stores the value after a change to it; resolves once a write that began after the change has
   * succeeded. Changes of the same turn of the event loop go into one write. A write that fails, or
   * may have, is followed by another one.
   *
   * @example
   * this.#entries.delete(id);
   * await this.#writer.change(); // the stored value lacks the entry
   */
  change(): Promise<void> {
    this.#changes += 1;
    return this.flush();
  }

  /** Resolves once all changes made so far are stored. */
  flush(): Promise<void> {
    const change = this.#changes;
    if (change <= this.#stored) {
      return Promise.resolve();
    }
    if (!this.#isWriting) {
      void this.#writeAll();
    }
    return new Promise((resolve) => {
      this.#waiters.push({change, resolve});
    });
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    while (this.#stored < this.#changes && !this.#stopped) {
      // Changes made in the same turn of the event loop go into one write.
      await delay(0);
      await this.#write();
    }
    this.#isWriting = false;
  }

  async #write(): Promise<void> {
    const change = this.#changes;
    const outcome = await this.#options.write();
    if (outcome === 'written') {
      this.#stored = change;
      this.#resolveStored();
    } else if (outcome === 'fenced') {
      this.#stopped = true;
      this.#options.onFenced();
    } else {
      await delay(JOURNAL_RETRY_MS);
    }
  }

  #resolveStored(): void {
    const waiters = this.#waiters;
    this.#waiters = waiters.filter(({change}) => change > this.#stored);
    for (const {change, resolve} of waiters) {
      if (change <= this.#stored) {
        resolve();
      }
    }
  }
}
