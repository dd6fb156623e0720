/** Metrics of events: counts by code, gauges of numeric fields and histograms of durations. */

import type {EventFields, EventKind, EventLevel, EventSink} from '@nutmegproxy/core';
import type {Registry} from 'prom-client';

import {Counter, Gauge, Histogram} from 'prom-client';

/** Bucket bounds in seconds, from delays of an idle fleet to the longest waits that callers accept. */
const DURATION_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export interface EventMetricsOptions {
  /** Field that is recorded in the duration histogram, in milliseconds, by the event's code. */
  readonly durationFieldByCode: Readonly<Record<number, string>>;
  /** Kinds of events whose numeric fields are exported as gauges, with the field `cell` as a label. */
  readonly gaugedKinds: readonly EventKind[];
  readonly registry: Registry;
  /** Receives every event as well. */
  readonly sink: EventSink;
}

/** A time series of the counter. */
interface CountedSeries {
  /** Number of events since the counter was last collected. */
  count: number;
  readonly labels: {readonly code: string; readonly level: EventLevel; readonly outcome: string};
}

type SeriesByOutcome = Map<string, CountedSeries>;

/** An event sink that updates metrics and passes each event on to another sink. */
export class EventMetrics implements EventSink {
  readonly #counter: Counter<'code' | 'level' | 'outcome'>;
  readonly #gauge: Gauge<'cell' | 'what'>;
  readonly #gaugedCodes: ReadonlySet<number>;
  readonly #options: EventMetricsOptions;
  readonly #durations: Histogram<'code' | 'field'>;
  readonly #durationsByCode = new Map<number, Histogram.Internal<'code' | 'field'>>();
  /** All series, oldest first: the order in which they are exported. */
  readonly #series: CountedSeries[] = [];
  readonly #seriesByCode: Readonly<Record<EventLevel, Map<number, SeriesByOutcome>>> = {
    debug: new Map(),
    error: new Map(),
    info: new Map(),
    warn: new Map(),
  };

  constructor(options: EventMetricsOptions) {
    const registers = [options.registry];
    this.#options = options;
    this.#gaugedCodes = new Set(options.gaugedKinds.map(({code}) => code));
    this.#counter = new Counter({
      collect: () => {
        this.#exportCounts();
      },
      help: 'Events by the codes of docs/EVENTS.md, with the outcome or reason that they name.',
      labelNames: ['code', 'level', 'outcome'],
      name: 'nutmegproxy_events_total',
      registers,
    });
    this.#gauge = new Gauge({
      help: 'Newest numbers of the fleet, as its owner sees it.',
      labelNames: ['what', 'cell'],
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
    const {code} = kind;
    sink.record(kind, fields);
    this.#findSeries(kind, this.#findOutcome(fields)).count += 1;
    const field = durationFieldByCode[code];
    const milliseconds = field === undefined ? undefined : fields[field];
    if (field !== undefined && typeof milliseconds === 'number') {
      this.#findDurations(code, field).observe(milliseconds / 1000);
    }
    if (this.#gaugedCodes.has(code)) {
      const {cell, ...values} = fields;
      const labels = cell === undefined ? {} : {cell: String(cell)};
      for (const [what, value] of Object.entries(values)) {
        if (typeof value === 'number') {
          this.#gauge.set({what, ...labels}, value);
        }
      }
    }
  }

  /** Adds what was counted since the last call; events are more frequent than reads of the metrics. */
  #exportCounts(): void {
    for (const series of this.#series) {
      if (series.count > 0) {
        this.#counter.inc(series.labels, series.count);
        series.count = 0;
      }
    }
  }

  #findDurations(code: number, field: string): Histogram.Internal<'code' | 'field'> {
    const known = this.#durationsByCode.get(code);
    if (known !== undefined) {
      return known;
    }
    const durations = this.#durations.labels({code: String(code), field});
    this.#durationsByCode.set(code, durations);
    return durations;
  }

  #findSeries({code, level}: EventKind, outcome: string): CountedSeries {
    const series = this.#seriesByCode[level].get(code)?.get(outcome);
    return series ?? this.#addSeries(code, level, outcome);
  }

  #addSeries(code: number, level: EventLevel, outcome: string): CountedSeries {
    const series = {count: 0, labels: {code: String(code), level, outcome}};
    const byCode = this.#seriesByCode[level];
    const byOutcome = byCode.get(code) ?? new Map<string, CountedSeries>();
    byCode.set(code, byOutcome.set(outcome, series));
    this.#series.push(series);
    return series;
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
