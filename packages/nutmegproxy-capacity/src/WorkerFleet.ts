/** A fleet of stand-in workers with one listener each and shared byte counters. */

import type {Vm} from '@nutmegproxy/schema';
import type {ClockReading, WorkerModel as Model} from '@nutmegproxy/standins';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {validateTaskStarts, validateWorkerSync} from '@nutmegproxy/schema';
import {readBody, sendJson, WorkerModel} from '@nutmegproxy/standins';
import {createServer} from 'node:http';

import {DATA_CENTRE, WORKER_CAPACITY, WORKERS_PER_RACK} from './CapacityConstants.ts';

/** Totals of all workers since the start. */
export interface FleetCounts {
  readonly receivedBytes: number;
  readonly sentBytes: number;
  /** Tasks that were started. */
  readonly started: number;
  readonly syncs: number;
}

interface CallCounts {
  started: number;
  syncs: number;
}

type CallHandler = (model: Model, body: unknown, now: ClockReading, counts: CallCounts) => unknown;

const CALL_HANDLERS: Readonly<Record<string, CallHandler>> = {
  '/v1/start': (model, body, now, counts) => {
    if (!validateTaskStarts(body)) {
      return [];
    }
    counts.started += body.length;
    return model.start(body, now);
  },
  '/v1/sync': (model, body, now, counts) => {
    counts.syncs += 1;
    return validateWorkerSync(body) ? model.sync(body, now) : {};
  },
};

function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Returns the VM list entry of a worker. */
export function describeWorker(index: number, address: string, dataCentre = DATA_CENTRE): Vm {
  return {
    address,
    capacity: WORKER_CAPACITY,
    dataCentre,
    id: `${dataCentre}-worker-${index}`,
    rack: `${dataCentre}-rack-${Math.floor(index / WORKERS_PER_RACK)}`,
    role: 'worker',
    state: 'live',
  };
}

export class WorkerFleet {
  readonly #closed = {receivedBytes: 0, sentBytes: 0};
  readonly #counts: CallCounts = {started: 0, syncs: 0};
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();

  get counts(): FleetCounts {
    const open = [...this.#sockets];
    return {
      ...this.#counts,
      receivedBytes: open.reduce((sum, {bytesRead}) => sum + bytesRead, this.#closed.receivedBytes),
      sentBytes: open.reduce((sum, {bytesWritten}) => sum + bytesWritten, this.#closed.sentBytes),
    };
  }

  async close(): Promise<void> {
    const closing = this.#servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => {
            resolve();
          });
          server.closeAllConnections();
        }),
    );
    await Promise.all(closing);
  }

  /** Starts `count` workers and returns their VM list entries. */
  async start(count: number): Promise<readonly Vm[]> {
    const vms: Vm[] = [];
    for (let index = 0; index < count; index += 1) {
      const vm = describeWorker(index, '');
      const port = await this.#listen(new WorkerModel(vm.id, WORKER_CAPACITY));
      vms.push({...vm, address: `127.0.0.1:${port}`});
    }
    return vms;
  }

  #count(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => {
      this.#sockets.delete(socket);
      this.#closed.receivedBytes += socket.bytesRead;
      this.#closed.sentBytes += socket.bytesWritten;
    });
  }

  #listen(model: Model): Promise<number> {
    const server = createServer((request, response) => {
      void readBody(request).then((body) => {
        const handler = CALL_HANDLERS[request.url ?? ''];
        if (body === undefined || handler === undefined) {
          response.destroy();
          return;
        }
        const now = {monotonic: SYSTEM_CLOCK.monotonic(), wall: SYSTEM_CLOCK.wall()};
        sendJson(response, handler(model, JSON.parse(body.toString()), now, this.#counts));
      });
    });
    server.on('connection', (socket) => {
      this.#count(socket);
    });
    this.#servers.push(server);
    return listen(server);
  }
}
