/** Stores an owner's learned estimates of task durations and tail latencies for the next owner. */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {
  DurationEstimator,
  DurationSnapshot,
  TailLatencyModel,
  TailModelSnapshot,
} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {formatRecordKey} from '@nutmegproxy/jobs';

import type {FleetOwnership} from './FleetOwnership.ts';

import {ESTIMATES_WRITE_INTERVAL_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerRecord} from './OwnerRecord.ts';

interface EstimatesRecord {
  readonly durations: DurationSnapshot;
  readonly tails: TailModelSnapshot;
}

export interface LearnedEstimatesOptions {
  readonly clock: Clock;
  readonly estimator: DurationEstimator;
  readonly events: EventSink;
  readonly model: TailLatencyModel;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class LearnedEstimates {
  /** Whether this owner knows what the former one has stored, so that it may replace it. */
  #isRead = false;
  readonly #key: string;
  readonly #options: LearnedEstimatesOptions;
  readonly #record: OwnerRecord;
  #written = '';

  constructor(options: LearnedEstimatesOptions) {
    this.#options = options;
    this.#key = formatRecordKey('knowledge', options.ownership.cell);
    this.#record = new OwnerRecord({...options, key: this.#key});
  }

  /** Imports the former owner's estimates; without them, this owner starts with none until it can read them. */
  async read(): Promise<void> {
    const {clock, estimator, events, model} = this.#options;
    const stored = await this.#record.read();
    if (stored.isErr()) {
      const {message} = stored.error;
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'knowledge'});
      return;
    }
    this.#isRead = true;
    if (stored.value === undefined) {
      return;
    }
    try {
      const {durations, tails} = JSON.parse(stored.value.value.toString()) as EstimatesRecord;
      estimator.import(durations);
      model.import(tails, clock.monotonic(), clock.wall());
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: this.#key, message});
    }
  }

  /** Writes changed estimates periodically while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    const {clock, estimator, model} = this.#options;
    for (;;) {
      await delay(ESTIMATES_WRITE_INTERVAL_MS);
      if (!isActing()) {
        return;
      }
      if (!this.#isRead) {
        await this.read();
        continue;
      }
      const tails = model.export(clock.monotonic(), clock.wall());
      const record: EstimatesRecord = {durations: estimator.export(), tails};
      const text = JSON.stringify(record);
      if (text !== this.#written && (await this.#record.write(Buffer.from(text))) === 'written') {
        this.#written = text;
      }
    }
  }
}
