/** Writes the length of each queue to the store, so that every entry VM can report it. */

import type {EventSink} from '@nutmegproxy/core';
import type {Fleet} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';

import type {FleetOwnership} from './FleetOwnership.ts';

import {QUEUE_LENGTHS_INTERVAL_MS} from './OwnerConstants.ts';
import {OwnerRecord} from './OwnerRecord.ts';

/** Key of the queue lengths of the first cell, which are stored as JSON. */
export const QUEUE_LENGTHS_KEY = formatRecordKey('waiting', FIRST_CELL);

/** Number of accepted jobs of which no minion has begun a task, by queue. */
export interface QueueLengths {
  readonly counts: Readonly<Record<string, number>>;
}

export interface QueueLengthPublisherOptions {
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class QueueLengthPublisher {
  readonly #options: QueueLengthPublisherOptions;
  #published = '';
  readonly #record: OwnerRecord;

  constructor(options: QueueLengthPublisherOptions) {
    this.#options = options;
    const key = formatRecordKey('waiting', options.ownership.cell);
    this.#record = new OwnerRecord({...options, key});
  }

  /** Publishes changed lengths while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    while (isActing()) {
      await this.#publish();
      await delay(QUEUE_LENGTHS_INTERVAL_MS);
    }
  }

  #count(): QueueLengths {
    const counts: Record<string, number> = {};
    for (const job of this.#options.fleet.jobs.open()) {
      if (!job.hasBegun) {
        const {queue} = job.request;
        counts[queue] = (counts[queue] ?? 0) + 1;
      }
    }
    return {counts};
  }

  async #publish(): Promise<void> {
    const text = JSON.stringify(this.#count());
    if (text !== this.#published && (await this.#record.write(Buffer.from(text))) === 'written') {
      this.#published = text;
    }
  }
}
