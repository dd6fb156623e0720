/** Chooses the cells of the jobs that this VM accepts, by what the owners of the cells publish. */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {CellForecast, CellIndex, StoredJob} from '@nutmegproxy/jobs';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {chooseJobCell} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';

import {FORECAST_CACHE_MS, FORECAST_READ_MS} from './EntryConstants.ts';
import {readCellForecasts} from './QueueLengthReader.ts';

export interface CellRouterOptions {
  readonly cells: () => number;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly store: PlatformStore;
}

export class CellRouter {
  #forecasts: readonly (CellForecast | undefined)[] = [];
  readonly #options: CellRouterOptions;
  #read: Promise<void> | undefined;
  /** When the last read was begun, whether or not it succeeded. */
  #readAt = -Infinity as Instant;

  constructor(options: CellRouterOptions) {
    this.#options = options;
  }

  /** Returns the cell of a new job. A caller does not wait long for the forecasts: old ones are not used. */
  async choose(job: Pick<StoredJob, 'id' | 'service' | 'steps'>): Promise<CellIndex> {
    const {cells, clock} = this.#options;
    const now = clock.monotonic();
    if (now - this.#readAt > FORECAST_CACHE_MS) {
      this.#readAt = now;
      this.#read = this.#refresh();
    }
    await Promise.race([this.#read, delay(FORECAST_READ_MS)]);
    const forecasts = Array.from({length: cells()}, (_, cell) => this.#forecasts[cell]);
    return chooseJobCell(job, forecasts, clock.wall());
  }

  async #refresh(): Promise<void> {
    const {cells, events, store} = this.#options;
    const read = await readCellForecasts(store, cells());
    read.match(
      (forecasts) => {
        this.#forecasts = forecasts;
      },
      ({message}) => {
        events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'forecasts of cells'});
      },
    );
  }
}
