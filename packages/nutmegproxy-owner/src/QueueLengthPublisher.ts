/**
 * Writes the length of each queue to the store, so that every entry VM can report it, and the outlook of the cell,
 * so that the entry VMs can choose the cells of new jobs.
 */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {CellOutlook} from '@nutmegproxy/jobs';
import type {Fleet} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';

import type {FleetOwnership} from './FleetOwnership.ts';

import {summarizeRoom} from './CellRoomSummary.ts';
import {
  QUEUE_LENGTHS_INTERVAL_MS,
  QUEUE_LENGTHS_REPEAT_MS,
  QUEUE_LENGTHS_VALID_MS,
} from './OwnerConstants.ts';
import {OwnerRecord} from './OwnerRecord.ts';

/** Key of the queue lengths of the first cell, which are stored as JSON. */
export const QUEUE_LENGTHS_KEY = formatRecordKey('waiting', FIRST_CELL);

/** Number of accepted jobs of which no minion has begun a task, by queue. */
export interface QueueLengths {
  readonly counts: Readonly<Record<string, number>>;
  /** Only where jobs are given places. */
  readonly outlook?: CellOutlook;
  /**
   * Time in milliseconds from the write after which they are outdated, as the owner that wrote them writes no more;
   * absent in records of earlier versions, which were written only when changed.
   */
  readonly validMs?: number;
}

export interface QueueLengthPublisherOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly ownership: FleetOwnership;
  /** Whether the outlook of the cell is published; default: it is not. */
  readonly publishesOutlook?: boolean;
  readonly store: PlatformStore;
}

export class QueueLengthPublisher {
  #hasCounted = false;
  readonly #options: QueueLengthPublisherOptions;
  /** The lengths that were last written, as JSON. */
  #published = '';
  #publishedAt = -Infinity;
  readonly #record: OwnerRecord;

  constructor(options: QueueLengthPublisherOptions) {
    this.#options = options;
    const key = formatRecordKey('waiting', options.ownership.cell);
    this.#record = new OwnerRecord({...options, key});
  }

  /** Publishes the lengths while `isActing` returns true: when they have changed, and before they are outdated. */
  async run(isActing: () => boolean): Promise<void> {
    while (isActing()) {
      await this.#publish();
      await delay(QUEUE_LENGTHS_INTERVAL_MS);
    }
  }

  #count(): QueueLengths {
    const counts: Record<string, number> = {};
    const areBegun = this.#areReportsAwaited();
    for (const job of this.#options.fleet.jobs.open()) {
      if (!job.hasBegun && !(areBegun && job.hadStarted)) {
        const {queue} = job.request;
        counts[queue] = (counts[queue] ?? 0) + 1;
      }
    }
    return {counts, validMs: QUEUE_LENGTHS_VALID_MS};
  }

  /**
   * Whether minions have yet to tell which jobs that a former owner had started have begun: that is not stored where a
   * start was confirmed after its job was written, and the store does not name the minions of starts.
   */
  #areReportsAwaited(): boolean {
    const {minions, recoveryRevision} = this.#options.fleet;
    const isFirst = !this.#hasCounted;
    this.#hasCounted = true;
    const isAwaited = isFirst || [...minions.values()].some(({areRunsKnown}) => !areRunsKnown);
    return recoveryRevision > 0 && isAwaited;
  }

  async #publish(): Promise<void> {
    const {clock, publishesOutlook = false} = this.#options;
    const lengths = this.#count();
    const text = JSON.stringify(lengths);
    const now = clock.monotonic();
    if (text === this.#published && now - this.#publishedAt < QUEUE_LENGTHS_REPEAT_MS) {
      return;
    }
    const written = publishesOutlook
      ? JSON.stringify({...lengths, outlook: this.#createOutlook()} satisfies QueueLengths)
      : text;
    if ((await this.#record.write(Buffer.from(written))) === 'written') {
      this.#published = text;
      this.#publishedAt = now;
    }
  }

  #createOutlook(): CellOutlook {
    const {clock, fleet} = this.#options;
    return {
      ...summarizeRoom(fleet.minions.values(), clock.monotonic()),
      writtenAt: clock.wall(),
    };
  }
}
