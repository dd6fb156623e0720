/** The catalogue of the demo, with request and task entries of two teams. */

import type {Catalogue} from '@nutmegproxy/schema';

export const DEMO_CATALOGUE: Catalogue = {
  entries: [
    {
      class: 'latency-critical',
      id: 'alert',
      kind: 'request',
      limits: {queue: 100, timeoutMs: 5_000},
      owner: 'alertas',
      service: 'oportuna',
    },
    {
      checkpoint: true,
      class: 'batch',
      id: 'digest',
      kind: 'task',
      limits: {attempts: 3, cpu: 2, memoryMb: 1_000, runTimeMs: 200},
      owner: 'alertas',
    },
    {
      class: 'latency-critical',
      id: 'proof',
      idempotent: true,
      kind: 'request',
      limits: {queue: 100, timeoutMs: 10_000},
      owner: 'albarrada',
      service: 'mesa',
    },
    {
      checkpoint: true,
      class: 'batch',
      id: 'retouch',
      kind: 'task',
      limits: {attempts: 3, cpu: 4, memoryMb: 8_000, runTimeMs: 400},
      owner: 'albarrada',
    },
    {
      class: 'batch',
      id: 'catalogue-set',
      kind: 'request',
      limits: {queue: 100, timeoutMs: 60_000},
      owner: 'albarrada',
      service: 'mesa',
    },
  ],
  teams: [
    {id: 'alertas', quota: {cpu: 100, requests: 100}},
    {id: 'albarrada', quota: {cpu: 200, requests: 100}},
  ],
};
