/**
 * The network of a proof. Every connection that an entry process opens runs through this hub, which
 * knows who opened it and to whom, and swallows bytes of any direction between any two places.
 */

import type {AddressInfo, Server, Socket} from 'node:net';

import {connect, createServer} from 'node:net';

/** Name of a place: an entry VM's id, `store`, `vm-list`, or a stand-in's id. */
export type Place = string;

interface Passage {
  readonly client: Socket;
  readonly from: Place;
  lostBytes: boolean;
  readonly target: Socket;
  readonly to: Place;
}

const HEADER_LIMIT = 256;

/**
 * Loaded into each entry process: sends every outgoing connection to the hub, led by a line that
 * tells who opens it and which port it is for.
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

function direction(from: Place, to: Place): string {
  return `${from}>${to}`;
}

/** A socket whose end is on its way can't be reset: its handle would stay open and spin. */
function breakOff(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/**
 * A hub with cuts by direction.
 *
 * @example
 * const network = new ProofNetwork();
 * await network.start();
 * network.name(port, 'store');
 * network.cut('e1', 'store');
 * network.heal('e1', 'store');
 */
export class ProofNetwork {
  /** Number of causes that cut a direction now; several faults may cut the same one. */
  readonly #cuts = new Map<string, number>();
  readonly #passages = new Set<Passage>();
  readonly #places = new Map<number, Place>();
  readonly #server: Server = createServer((client) => {
    this.#accept(client);
  });

  async close(): Promise<void> {
    for (const passage of this.#passages) {
      this.#reset(passage);
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /** Cuts one direction; each cut needs a heal of its own. */
  cut(from: Place, to: Place): void {
    const name = direction(from, to);
    this.#cuts.set(name, (this.#cuts.get(name) ?? 0) + 1);
  }

  /** Environment of a process whose connections run through the hub. */
  environment(place: Place): Readonly<Record<string, string>> {
    const {port} = this.#server.address() as AddressInfo;
    const module = `data:text/javascript;base64,${Buffer.from(PRELOAD).toString('base64')}`;
    return {
      NODE_OPTIONS: `--import=${module}`,
      NUTMEGPROXY_PROOF_HUB: String(port),
      NUTMEGPROXY_PROOF_PLACE: place,
    };
  }

  /** Ends one cut of a direction. Connections that lost bytes are reset, as they can't go on. */
  heal(from: Place, to: Place): void {
    const name = direction(from, to);
    const left = (this.#cuts.get(name) ?? 0) - 1;
    if (left > 0) {
      this.#cuts.set(name, left);
      return;
    }
    this.#cuts.delete(name);
    for (const passage of this.#passages) {
      const ends = [direction(passage.from, passage.to), direction(passage.to, passage.from)];
      if (passage.lostBytes && ends.includes(name)) {
        this.#reset(passage);
      }
    }
  }

  /** Tells which place listens on a port. */
  name(port: number, place: Place): void {
    this.#places.set(port, place);
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
      } else if (header.length > HEADER_LIMIT) {
        client.destroy();
      }
    };
    client.on('data', read);
    client.on('error', () => client.destroy());
  }

  #open(client: Socket, from: Place, port: number, first: Buffer): void {
    const target = connect(port, '127.0.0.1');
    const to = this.#places.get(port) ?? String(port);
    const passage: Passage = {client, from, lostBytes: false, target, to};
    this.#passages.add(passage);
    this.#pass(passage, client, target, direction(from, to));
    this.#pass(passage, target, client, direction(to, from));
    if (first.length > 0) {
      this.#forward(passage, direction(from, to), () => target.write(first));
    }
  }

  #pass(passage: Passage, source: Socket, sink: Socket, name: string): void {
    source.setNoDelay(true);
    source.on('data', (chunk) => {
      this.#forward(passage, name, () => sink.write(chunk));
    });
    source.on('end', () => {
      this.#forward(passage, name, () => sink.end());
    });
    source.on('error', () => {
      this.#forward(passage, name, () => {
        breakOff(sink);
      });
    });
    source.on('close', () => {
      this.#forward(passage, name, () => sink.destroy());
      if (sink.destroyed) {
        this.#passages.delete(passage);
      }
    });
  }

  #forward(passage: Passage, name: string, effect: () => void): void {
    if (this.#cuts.has(name)) {
      passage.lostBytes = true;
      return;
    }
    effect();
  }

  #reset(passage: Passage): void {
    breakOff(passage.client);
    breakOff(passage.target);
    this.#passages.delete(passage);
  }
}
