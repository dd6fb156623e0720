/** Counts events by kind, and shows the newest numbers of those that carry a state. */

import type {EventFields, EventKind, EventSink} from '@nutmegproxy/core';
import type {Registry} from 'prom-client';

import {Counter, Gauge, Histogram} from 'prom-client';

/** Bounds in seconds, from an idle fleet to the longest waits that callers bear. */
const WAIT_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export interface EventMetricsOptions {
  /** Kinds whose numeric fields are shown as gauges. */
  readonly gauged: readonly EventKind[];
  /** Fields in milliseconds that go into a histogram, by the event's code. */
  readonly measured: Readonly<Record<number, string>>;
  readonly registry: Registry;
  /** Takes every event as well. */
  readonly sink: EventSink;
}

/** An event sink that measures what passes through it. */
export class EventMetrics implements EventSink {
  readonly #count: Counter<'code' | 'level' | 'outcome'>;
  readonly #gauge: Gauge<'what'>;
  readonly #gauged: ReadonlySet<number>;
  readonly #options: EventMetricsOptions;
  readonly #waits: Histogram<'code' | 'field'>;

  constructor(options: EventMetricsOptions) {
    const registers = [options.registry];
    this.#options = options;
    this.#gauged = new Set(options.gauged.map(({code}) => code));
    this.#count = new Counter({
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
    this.#waits = new Histogram({
      buckets: WAIT_BUCKETS_S,
      help: 'Durations that events carry, in seconds, by code and field.',
      labelNames: ['code', 'field'],
      name: 'nutmegproxy_event_seconds',
      registers,
    });
  }

  record(kind: EventKind, fields: EventFields): void {
    const {measured, sink} = this.#options;
    const {code, level} = kind;
    sink.record(kind, fields);
    const outcome = this.#findOutcome(fields);
    this.#count.inc({code: String(code), level, outcome});
    const field = measured[code];
    const milliseconds = field === undefined ? undefined : fields[field];
    if (field !== undefined && typeof milliseconds === 'number') {
      this.#waits.observe({code: String(code), field}, milliseconds / 1000);
    }
    if (this.#gauged.has(code)) {
      for (const [what, value] of Object.entries(fields)) {
        if (typeof value === 'number') {
          this.#gauge.set({what}, value);
        }
      }
    }
  }

  /** Outcomes and kinds come from fixed sets, so that they make few series; free text does not count. */
  #findOutcome({kind, outcome, status}: EventFields): string {
    const found = outcome ?? kind ?? status;
    return typeof found === 'string' ? found : '';
  }
}
