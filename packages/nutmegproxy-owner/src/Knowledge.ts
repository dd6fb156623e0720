/** Keeps what an owner has learned in the store, so that the next one need not learn it again. */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {
  DurationEstimator,
  DurationSnapshot,
  TailLatencyModel,
  TailModelSnapshot,
} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';

import type {Tenure} from './Tenure.ts';

import {KNOWLEDGE_PAUSE_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerRecord} from './OwnerRecord.ts';

const KNOWLEDGE_KEY = `${STATE_PREFIX}knowledge`;

interface KnowledgeRecord {
  readonly durations: DurationSnapshot;
  readonly tails: TailModelSnapshot;
}

export interface KnowledgeOptions {
  readonly clock: Clock;
  readonly estimate: DurationEstimator;
  readonly events: EventSink;
  readonly model: TailLatencyModel;
  readonly store: PlatformStore;
  readonly tenure: Tenure;
}

export class Knowledge {
  readonly #options: KnowledgeOptions;
  readonly #record: OwnerRecord;
  #written = '';

  constructor(options: KnowledgeOptions) {
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: KNOWLEDGE_KEY});
  }

  /** Takes over what the former owner kept; without it, everything is learned anew. */
  async read(): Promise<void> {
    const {clock, estimate, events, model} = this.#options;
    const stored = await this.#record.read();
    if (stored.isErr()) {
      const {message} = stored.error;
      events.record(OWNER_EVENTS.STORE_FOLLOW_FAILED, {message, what: 'knowledge'});
      return;
    }
    if (stored.value === undefined) {
      return;
    }
    try {
      const {durations, tails} = JSON.parse(stored.value.value.toString()) as KnowledgeRecord;
      estimate.import(durations);
      model.import(tails, clock.monotonic(), clock.wall());
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: KNOWLEDGE_KEY, message});
    }
  }

  /** Writes what is new from time to time while the ownership lasts. */
  async run(isActing: () => boolean): Promise<void> {
    const {clock, estimate, model} = this.#options;
    for (;;) {
      await delay(KNOWLEDGE_PAUSE_MS);
      if (!isActing()) {
        return;
      }
      const tails = model.export(clock.monotonic(), clock.wall());
      const record: KnowledgeRecord = {durations: estimate.export(), tails};
      const text = JSON.stringify(record);
      if (text !== this.#written && (await this.#record.write(Buffer.from(text))) === 'written') {
        this.#written = text;
      }
    }
  }
}
