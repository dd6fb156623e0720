/** Turns the events of a WebSocket into a bounded queue that one task reads. */

import type {WebSocket} from 'ws';

import {MAX_HANDSHAKE_BYTES, MAX_INBOX_BYTES} from './PeersConstants.ts';

/** Frames of one socket in order of arrival; the socket is paused while the queue is full. */
export class FrameInbox {
  #bytes = 0;
  #closed = false;
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
    // The close event follows each error and ends the link's task.
    socket.on('error', () => undefined);
  }

  /** The next frame, or undefined when the socket is closed. */
  async next(): Promise<Buffer | undefined> {
    while (this.#frames.length === 0 && !this.#closed) {
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

  /** The other side is authenticated: more of its frames may wait. */
  raiseByteLimit(): void {
    this.#limitBytes = MAX_INBOX_BYTES;
  }

  #close(): void {
    this.#closed = true;
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
