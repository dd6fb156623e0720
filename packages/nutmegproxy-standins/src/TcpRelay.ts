/** A TCP relay between a port and a target that drops, delays and resets traffic. */

import type {AddressInfo, Socket} from 'node:net';

import {connect, createServer} from 'node:net';

import type {Standin} from './HttpListener.ts';

import {listen, parseControl, sendJson} from './HttpListener.ts';

/** The direction whose bytes are dropped; connections that lost bytes are reset when it heals. */
export type PartitionDirection = 'both' | 'from-target' | 'none' | 'to-target';

/** Body of POST /control on the control port. */
export interface RelayControl {
  readonly cut?: PartitionDirection;
  readonly delayMs?: number;
  /** Resets all open connections. */
  readonly reset?: boolean;
}

export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

interface RelayedConnection {
  readonly client: Socket;
  lostBytes: boolean;
  readonly target: Socket;
}

type Direction = 'from-target' | 'to-target';

/** Bytes received in each direction since the start. */
export type RelayBytes = Record<Direction, number>;

export class TcpRelay {
  readonly #bytes: RelayBytes = {'from-target': 0, 'to-target': 0};
  #partition: PartitionDirection = 'none';
  #delayMs = 0;
  readonly #connections = new Set<RelayedConnection>();
  readonly #target: RelayTarget;

  constructor(target: RelayTarget) {
    this.#target = target;
  }

  get bytes(): Readonly<RelayBytes> {
    return this.#bytes;
  }

  control(message: RelayControl): void {
    this.#delayMs = message.delayMs ?? this.#delayMs;
    const healed = message.cut === 'none' && this.#partition !== 'none';
    this.#partition = message.cut ?? this.#partition;
    const affected = [...this.#connections].filter(
      ({lostBytes}) => message.reset === true || (healed && lostBytes),
    );
    for (const connection of affected) {
      connection.client.resetAndDestroy();
      connection.target.resetAndDestroy();
    }
  }

  /** Starts listening on a loopback address; the control API has a separate port at 127.0.0.1. */
  async start(port = 0, host = '127.0.0.1'): Promise<Standin & {readonly controlPort: number}> {
    const server = createServer((client) => {
      this.#open(client);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    const control = await listen(0, {
      'POST /control': ({body, response}) => {
        this.control(parseControl(body) as RelayControl);
        sendJson(response, {});
      },
    });
    const close = async (): Promise<void> => {
      await control.close();
      this.control({reset: true});
      await new Promise((resolve) => server.close(resolve));
    };
    const address = server.address() as AddressInfo;
    return {close, controlPort: control.port, port: address.port};
  }

  #open(client: Socket): void {
    const target = connect(this.#target.port, this.#target.host);
    const connection: RelayedConnection = {client, lostBytes: false, target};
    this.#connections.add(connection);
    this.#pipe(connection, client, target, 'to-target');
    this.#pipe(connection, target, client, 'from-target');
  }

  #pipe(connection: RelayedConnection, from: Socket, to: Socket, direction: Direction): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      this.#bytes[direction] += chunk.length;
      this.#forward(connection, direction, () => to.write(chunk));
    });
    from.on('end', () => {
      this.#forward(connection, direction, () => to.end());
    });
    from.on('error', () => {
      to.destroy();
    });
    from.on('close', () => {
      this.#connections.delete(connection);
      this.#forward(connection, direction, () => to.destroy());
    });
  }

  #forward(connection: RelayedConnection, direction: Direction, effect: () => void): void {
    if (this.#partition === 'both' || this.#partition === direction) {
      connection.lostBytes = true;
      return;
    }
    if (this.#delayMs === 0) {
      effect();
      return;
    }
    // Timers with equal delays fire in order, so the byte order is preserved.
    setTimeout(effect, this.#delayMs);
  }
}
