/** Publishes the length of each queue in the store, for callers who ask any entry VM. */

import type {EventSink} from '@nutmegproxy/core';
import type {Fleet} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';

import type {Tenure} from './Tenure.ts';

import {WAITING_PUBLISH_MS} from './OwnerConstants.ts';
import {OwnerRecord} from './OwnerRecord.ts';

/** Holds a `WaitingRecord` as JSON. */
export const WAITING_KEY = `${STATE_PREFIX}waiting`;

/** Accepted jobs that have not begun, by queue. */
export interface WaitingRecord {
  readonly counts: Readonly<Record<string, number>>;
}

export interface WaitingBoardOptions {
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly store: PlatformStore;
  readonly tenure: Tenure;
}

export class WaitingBoard {
  readonly #options: WaitingBoardOptions;
  #published = '';
  readonly #record: OwnerRecord;

  constructor(options: WaitingBoardOptions) {
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: WAITING_KEY});
  }

  /** Publishes changes while the ownership lasts. */
  async run(isActing: () => boolean): Promise<void> {
    while (isActing()) {
      await this.#publish();
      await delay(WAITING_PUBLISH_MS);
    }
  }

  #count(): WaitingRecord {
    const counts: Record<string, number> = {};
    for (const job of this.#options.fleet.jobs.values()) {
      if (!job.started && !job.isFinal) {
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
