/** Metrics of the links between entry VMs. */

import type {Registry} from 'prom-client';

import {Counter, Gauge} from 'prom-client';

/** Direction of bytes and messages, as seen from this process. */
export type Direction = 'in' | 'out';

export class PeersMetrics {
  readonly #bytes: Counter<'direction'>;
  readonly #messages: Counter<'direction' | 'type'>;
  readonly #opened: Counter;

  /** `countLinks` returns the number of open links. */
  constructor(registry: Registry, countLinks: () => number) {
    const registers = [registry];
    new Gauge({
      collect() {
        this.set(countLinks());
      },
      help: 'Open links to other entry VMs.',
      name: 'nutmegproxy_peers_links',
      registers,
    });
    this.#opened = new Counter({
      help: 'Links opened since the start, including reconnections.',
      name: 'nutmegproxy_peers_links_opened_total',
      registers,
    });
    this.#bytes = new Counter({
      help: 'Bytes of frames on links by direction.',
      labelNames: ['direction'],
      name: 'nutmegproxy_peers_traffic_bytes_total',
      registers,
    });
    this.#messages = new Counter({
      help: 'Messages on links by direction and type, without responses and heartbeats.',
      labelNames: ['direction', 'type'],
      name: 'nutmegproxy_peers_messages_total',
      registers,
    });
  }

  countBytes(direction: Direction, bytes: number): void {
    this.#bytes.inc({direction}, bytes);
  }

  countLinkOpened(): void {
    this.#opened.inc();
  }

  /** Counts a message of a type that this process handles, which bounds the label values. */
  countMessage(direction: Direction, type: string): void {
    this.#messages.inc({direction, type});
  }
}
