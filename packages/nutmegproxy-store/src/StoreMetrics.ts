/** Metrics of the store client. */

import type {Registry} from 'prom-client';

import {Counter, Gauge, Histogram} from 'prom-client';

export type StoreCallKind = 'grant' | 'keepalive' | 'read' | 'revoke' | 'watch' | 'write';
export type StoreCallOutcome = 'ok' | 'rejected' | 'unavailable' | 'unknown';

const DURATION_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

export interface StoreMetrics {
  /** Adds to the number of open watches. */
  adjustOpenWatches(delta: -1 | 1): void;
  countCall(kind: StoreCallKind, outcome: StoreCallOutcome, durationMs: number): void;
}

export function createStoreMetrics(registry: Registry): StoreMetrics {
  const calls = new Counter({
    help: 'Calls to the store by kind and outcome.',
    labelNames: ['kind', 'outcome'],
    name: 'nutmegproxy_store_calls_total',
    registers: [registry],
  });
  const durations = new Histogram({
    buckets: DURATION_BUCKETS_SECONDS,
    help: 'Durations of calls to the store by kind.',
    labelNames: ['kind'],
    name: 'nutmegproxy_store_call_duration_seconds',
    registers: [registry],
  });
  const watches = new Gauge({
    help: 'Watches that wait at the store.',
    name: 'nutmegproxy_store_watches_open',
    registers: [registry],
  });
  return {
    adjustOpenWatches: (delta) => {
      watches.inc(delta);
    },
    countCall: (kind, outcome, durationMs) => {
      calls.inc({kind, outcome});
      durations.observe({kind}, durationMs / 1000);
    },
  };
}
