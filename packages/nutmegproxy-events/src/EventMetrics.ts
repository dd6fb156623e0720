/** Metrics of events: counts by code, gauges of numeric fields and histograms of durations. */

import type {EventFields, EventKind, EventSink} from '@nutmegproxy/core';
import type {Registry} from 'prom-client';

import {Counter, Gauge, Histogram} from 'prom-client';

/** Bucket bounds in seconds, from delays of an idle fleet to the longest waits that callers accept. */
const DURATION_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export interface EventMetricsOptions {
  /** Field that is recorded in the duration histogram, in milliseconds, by the event's code. */
  readonly durationFieldByCode: Readonly<Record<number, string>>;
  /** Kinds of events whose numeric fields are exported as gauges. */
  readonly gaugedKinds: readonly EventKind[];
  readonly registry: Registry;
  /** Receives every event as well. */
  readonly sink: EventSink;
}

/** An event sink that updates metrics and passes each event on to another sink. */
export class EventMetrics implements EventSink {
  readonly #counter: Counter<'code' | 'level' | 'outcome'>;
  readonly #gauge: Gauge<'what'>;
  readonly #gaugedCodes: ReadonlySet<number>;
  readonly #options: EventMetricsOptions;
  readonly #durations: Histogram<'code' | 'field'>;

  constructor(options: EventMetricsOptions) {
    const registers = [options.registry];
    this.#options = options;
    this.#gaugedCodes = new Set(options.gaugedKinds.map(({code}) => code));
    this.#counter = new Counter({
      help: 'Events by the codes of docs/EVENTS.md, with the outcome or reason that they name.',
      labelNames: ['code', 'level', 'outcome'],
      name: 'nutmegproxy_events_total',
      registers,
    });
    this.#gauge = new Gauge({
      help: 'Newest numbers of the fleet, as its owner sees it.',
      labelNames: ['what'],
      name: 'nutmegproxy_fleet',
      registers,
    });
    this.#durations = new Histogram({
      buckets: DURATION_BUCKETS_SECONDS,
      help: 'Durations that events carry, in seconds, by code and field.',
      labelNames: ['code', 'field'],
      name: 'nutmegproxy_event_seconds',
      registers,
    });
  }

  record(kind: EventKind, fields: EventFields): void {
    const {durationFieldByCode, sink} = this.#options;
    const {code, level} = kind;
    sink.record(kind, fields);
    const outcome = this.#findOutcome(fields);
    this.#counter.inc({code: String(code), level, outcome});
    const field = durationFieldByCode[code];
    const milliseconds = field === undefined ? undefined : fields[field];
    if (field !== undefined && typeof milliseconds === 'number') {
      this.#durations.observe({code: String(code), field}, milliseconds / 1000);
    }
    if (this.#gaugedCodes.has(code)) {
      for (const [what, value] of Object.entries(fields)) {
        if (typeof value === 'number') {
          this.#gauge.set({what}, value);
        }
      }
    }
  }

  /**
   * Returns the outcome, kind or status of an event. These are fixed sets, which keeps the number of
   * time series small; free text is left out.
   */
  #findOutcome({kind, outcome, status}: EventFields): string {
    const found = outcome ?? kind ?? status;
    return typeof found === 'string' ? found : '';
  }
}
