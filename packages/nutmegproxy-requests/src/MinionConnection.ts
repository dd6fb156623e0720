/**
 * One connection to a minion, which carries one exchange at a time. Each connection has its own
 * undici client with a single socket opened here. The client cannot reconnect, so no request is
 * sent twice, and the socket's byte count shows whether any part of a request was sent.
 */

import type {Result} from 'neverthrow';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';

import {err, ok} from 'neverthrow';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Client} from 'undici';

import type {ForwardedHeaders} from './HeaderUtils.ts';

import {ABORTED, raceAbort} from './AbortUtils.ts';
import {CLOSE_TIMEOUT_MS, CONNECT_TIMEOUT_MS, MAX_CONNECTION_IDLE_MS} from './RequestsConstants.ts';

/** A request to a minion. */
export interface MinionRequest {
  readonly body: Buffer | null | Readable;
  readonly headers: ForwardedHeaders;
  readonly method: string;
  readonly path: string;
}

export type MinionResponse = Dispatcher.ResponseData;

/** `wasSent`: whether any byte of the request was written to the connection. */
export interface SendFailure {
  readonly message: string;
  readonly wasSent: boolean;
}

export class MinionConnection {
  readonly #client: Client;
  readonly #closed: Promise<void>;
  #isSocketInUse = false;
  readonly #socket: Socket;

  constructor(socket: Socket, address: string) {
    this.#socket = socket;
    this.#closed = new Promise((resolve) => {
      if (socket.closed) {
        resolve();
      }
      socket.once('close', () => {
        resolve();
      });
    });
    this.#client = new Client(`http://${address}`, {
      bodyTimeout: 0,
      connect: (_options, callback) => {
        // undici starts to write only if its connector calls back asynchronously.
        queueMicrotask(() => {
          this.#provideSocket(callback);
        });
      },
      headersTimeout: 0,
      keepAliveTimeout: MAX_CONNECTION_IDLE_MS,
      pipelining: 1,
    });
  }

  /**
   * Closes the write side and settles once the minion has closed its side, so that it has seen the
   * close. The socket is destroyed if the minion does not close within `CLOSE_TIMEOUT_MS`.
   */
  async close(): Promise<void> {
    this.#socket.end();
    const timer = setTimeout(() => this.#socket.destroy(), CLOSE_TIMEOUT_MS);
    if (!this.#isSocketInUse) {
      this.#socket.resume();
    }
    await this.#closed;
    clearTimeout(timer);
    await this.#client.destroy().catch(() => undefined);
  }

  /** Sends a request. The caller must read the response body or close the connection. */
  async send(
    request: MinionRequest,
    signal: AbortSignal,
  ): Promise<Result<MinionResponse, SendFailure>> {
    if (signal.aborted) {
      return err({message: 'cancelled before it was sent', wasSent: false});
    }
    const bytesWrittenBefore = this.#socket.bytesWritten;
    const responsePromise = this.#client.request(request);
    try {
      const response = await raceAbort(responsePromise, signal);
      if (response !== ABORTED) {
        return ok(response);
      }
      void drainResponse(responsePromise);
      const wasSent = this.#socket.bytesWritten > bytesWrittenBefore;
      if (!wasSent) {
        // Nothing has been written yet; destroying the socket prevents a later write.
        this.#socket.destroy();
      }
      return err({message: 'cancelled', wasSent});
    } catch (error) {
      const wasSent = this.#socket.bytesWritten > bytesWrittenBefore;
      return err({message: String(error), wasSent});
    }
  }

  get isUsable(): boolean {
    return !this.#socket.destroyed && this.#socket.writable && !this.#socket.readableEnded;
  }

  #provideSocket(callback: (...result: [Error, null] | [null, Socket]) => void): void {
    if (this.#isSocketInUse || this.#socket.destroyed) {
      callback(new Error('the connection is closed'), null);
      return;
    }
    this.#isSocketInUse = true;
    callback(null, this.#socket);
  }
}

/** Discards the response of an aborted request, so that the end of its connection is detected. */
async function drainResponse(responsePromise: Promise<MinionResponse>): Promise<void> {
  try {
    const {body} = await responsePromise;
    body.on('error', () => undefined);
    body.resume();
  } catch {
    // The exchange has already been aborted.
  }
}

/**
 * Opens a connection to a minion at an `ip:port` address.
 *
 * @example
 * const connection = await openConnection('127.0.0.1:8080', signal);
 */
export async function openConnection(
  address: string,
  signal: AbortSignal,
): Promise<Result<MinionConnection, string>> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  const socket = connect({host, noDelay: true, port: Number(address.slice(colon + 1))});
  // After this function returns, errors are handled through the socket's `close` event.
  socket.on('error', () => undefined);
  try {
    const timeout = AbortSignal.timeout(CONNECT_TIMEOUT_MS);
    await once(socket, 'connect', {signal: AbortSignal.any([signal, timeout])});
    return ok(new MinionConnection(socket, address));
  } catch (error) {
    socket.destroy();
    return err(String(error));
  }
}
