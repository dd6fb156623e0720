/** Converts the events of a WebSocket to a bounded queue with one reader. */

import type {WebSocket} from 'ws';

import {MAX_HANDSHAKE_BYTES, MAX_INBOX_BYTES} from './PeersConstants.ts';

/** Queue of a socket's frames in order of arrival; pauses the socket while the queue is full. */
export class FrameInbox {
  #bytes = 0;
  #isClosed = false;
  readonly #frames: Buffer[] = [];
  #limitBytes = MAX_HANDSHAKE_BYTES;
  readonly #socket: WebSocket;
  #wake: (() => void) | undefined;

  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.on('message', (data) => {
      this.#push(data as Buffer);
    });
    socket.on('close', () => {
      this.#close();
    });
    // A close event follows each error and ends the link's read loop.
    socket.on('error', () => undefined);
  }

  /** Waits for the next frame; returns undefined when the socket is closed. */
  async next(): Promise<Buffer | undefined> {
    while (this.#frames.length === 0 && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    const frame = this.#frames.shift();
    this.#bytes -= frame?.length ?? 0;
    if (this.#socket.isPaused && this.#bytes <= this.#limitBytes / 2) {
      this.#socket.resume();
    }
    return frame;
  }

  /** Raises the limit of queued bytes once the peer is authenticated. */
  raiseByteLimit(): void {
    this.#limitBytes = MAX_INBOX_BYTES;
  }

  #close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  #push(frame: Buffer): void {
    this.#frames.push(frame);
    this.#bytes += frame.length;
    if (this.#bytes >= this.#limitBytes) {
      this.#socket.pause();
    }
    this.#wake?.();
  }
}
