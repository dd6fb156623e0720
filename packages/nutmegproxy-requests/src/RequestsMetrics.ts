/** Metrics of the requests feature. */

import type {Registry} from 'prom-client';

import {Counter, Gauge, Histogram} from 'prom-client';

const DURATION_BUCKETS_SECONDS = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60];

export class RequestsMetrics {
  /** Responses by refusal code, or `answered` for responses of minions. */
  readonly responses: Counter<'class' | 'code'>;
  readonly duration: Histogram<'class'>;
  readonly retries: Counter;
  /** Slots over all minions by state: `share`, `borrowed`, `lent` or `inFlight`. */
  readonly slots: Gauge<'state'>;
  readonly openRequests: Gauge;

  constructor(registry: Registry) {
    const registers = [registry];
    this.responses = new Counter({
      help: 'Caller requests by result: answered, or the code of the refusal.',
      labelNames: ['class', 'code'],
      name: 'nutmegproxy_requests_answers_total',
      registers,
    });
    this.duration = new Histogram({
      buckets: DURATION_BUCKETS_SECONDS,
      help: 'Time from the arrival of a request to the end of its response.',
      labelNames: ['class'],
      name: 'nutmegproxy_requests_duration_seconds',
      registers,
    });
    this.retries = new Counter({
      help: 'Requests that were retried.',
      name: 'nutmegproxy_requests_retries_total',
      registers,
    });
    this.slots = new Gauge({
      help: 'Minion slots of this VM by state: share, borrowed, lent, in flight.',
      labelNames: ['state'],
      name: 'nutmegproxy_requests_slots_count',
      registers,
    });
    this.openRequests = new Gauge({
      help: 'Caller requests in progress, queued or at a minion.',
      name: 'nutmegproxy_requests_open_count',
      registers,
    });
  }
}
