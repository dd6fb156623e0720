/**
 * A TCP proxy between the processes of a test. Every connection that an entry process opens goes
 * through it, so that it can drop the bytes of one direction between any two endpoints.
 */

import type {AddressInfo, Server, Socket} from 'node:net';

import {connect, createServer} from 'node:net';

/** Name of an endpoint: an entry VM's id, `store`, `vm-list`, or a stand-in's id. */
export type Endpoint = string;

interface ProxiedConnection {
  readonly client: Socket;
  readonly from: Endpoint;
  lostBytes: boolean;
  readonly target: Socket;
  readonly to: Endpoint;
}

const MAX_HEADER_BYTES = 256;

/**
 * Loaded into each entry process: redirects every outgoing connection to the proxy, preceded by a
 * line with the source endpoint and the target port.
 */
const PRELOAD = `
import net from 'node:net';
const {NUTMEGPROXY_PROOF_HUB: hub, NUTMEGPROXY_PROOF_PLACE: place} = process.env;
const original = net.Socket.prototype.connect;
net.Socket.prototype.connect = function (...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  const port = options?.port;
  if (port === undefined) return original.apply(this, args);
  options.port = Number(hub);
  const result = original.apply(this, args);
  this.write(place + ' ' + port + '\\n');
  return result;
};
`;

function formatDirection(from: Endpoint, to: Endpoint): string {
  return `${from}>${to}`;
}

/** Resets a socket; one that is already ending is destroyed, as a reset would leave its handle open and busy. */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/**
 * A proxy that partitions endpoints by direction.
 *
 * @example
 * const network = new ProofNetwork();
 * await network.start();
 * network.assignPort(port, 'store');
 * network.partition('e1', 'store');
 * network.heal('e1', 'store');
 */
export class TestNetwork {
  /** Number of active partitions per direction; several faults may partition the same one. */
  readonly #partitionCounts = new Map<string, number>();
  readonly #connections = new Set<ProxiedConnection>();
  readonly #endpoints = new Map<number, Endpoint>();
  readonly #server: Server = createServer((client) => {
    this.#accept(client);
  });

  async close(): Promise<void> {
    for (const connection of this.#connections) {
      this.#reset(connection);
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /** Partitions one direction; each call needs its own call of `heal`. */
  partition(from: Endpoint, to: Endpoint): void {
    const name = formatDirection(from, to);
    this.#partitionCounts.set(name, (this.#partitionCounts.get(name) ?? 0) + 1);
  }

  /** Creates the environment of a process whose connections go through the proxy. */
  createEnvironment(endpoint: Endpoint): Readonly<Record<string, string>> {
    const {port} = this.#server.address() as AddressInfo;
    const module = `data:text/javascript;base64,${Buffer.from(PRELOAD).toString('base64')}`;
    return {
      NODE_OPTIONS: `--import=${module}`,
      NUTMEGPROXY_PROOF_HUB: String(port),
      NUTMEGPROXY_PROOF_PLACE: endpoint,
    };
  }

  /** Ends one partition of a direction. After the last, connections with missing bytes are reset. */
  heal(from: Endpoint, to: Endpoint): void {
    const name = formatDirection(from, to);
    const left = (this.#partitionCounts.get(name) ?? 0) - 1;
    if (left > 0) {
      this.#partitionCounts.set(name, left);
      return;
    }
    this.#partitionCounts.delete(name);
    for (const connection of this.#connections) {
      const ends = [
        formatDirection(connection.from, connection.to),
        formatDirection(connection.to, connection.from),
      ];
      if (connection.lostBytes && ends.includes(name)) {
        this.#reset(connection);
      }
    }
  }

  /** Sets which endpoint listens on a port. */
  assignPort(port: number, endpoint: Endpoint): void {
    this.#endpoints.set(port, endpoint);
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  #accept(client: Socket): void {
    let header = Buffer.alloc(0);
    const read = (chunk: Buffer): void => {
      header = Buffer.concat([header, chunk]);
      const end = header.indexOf('\n');
      if (end >= 0) {
        client.off('data', read);
        const [from = '', port = ''] = header.subarray(0, end).toString().split(' ');
        this.#open(client, from, Number(port), header.subarray(end + 1));
      } else if (header.length > MAX_HEADER_BYTES) {
        client.destroy();
      }
    };
    client.on('data', read);
    client.on('error', () => client.destroy());
  }

  #open(client: Socket, from: Endpoint, port: number, first: Buffer): void {
    const target = connect(port, '127.0.0.1');
    const to = this.#endpoints.get(port) ?? String(port);
    const connection: ProxiedConnection = {client, from, lostBytes: false, target, to};
    this.#connections.add(connection);
    this.#pipe(connection, client, target, formatDirection(from, to));
    this.#pipe(connection, target, client, formatDirection(to, from));
    if (first.length > 0) {
      this.#forward(connection, formatDirection(from, to), () => target.write(first));
    }
  }

  #pipe(connection: ProxiedConnection, source: Socket, sink: Socket, name: string): void {
    source.setNoDelay(true);
    source.on('data', (chunk) => {
      this.#forward(connection, name, () => sink.write(chunk));
    });
    source.on('end', () => {
      this.#forward(connection, name, () => sink.end());
    });
    source.on('error', () => {
      this.#forward(connection, name, () => {
        resetSocket(sink);
      });
    });
    source.on('close', () => {
      this.#forward(connection, name, () => sink.destroy());
      if (sink.destroyed) {
        this.#connections.delete(connection);
      }
    });
  }

  #forward(connection: ProxiedConnection, name: string, effect: () => void): void {
    if (this.#partitionCounts.has(name)) {
      connection.lostBytes = true;
      return;
    }
    effect();
  }

  #reset(connection: ProxiedConnection): void {
    resetSocket(connection.client);
    resetSocket(connection.target);
    this.#connections.delete(connection);
  }
}
