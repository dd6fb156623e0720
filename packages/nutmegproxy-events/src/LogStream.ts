/**
 * Where log lines go: standard output, without ever waiting for its reader. Lines beyond a rate or
 * beyond what a slow reader leaves room for are counted and left out.
 */

import type {DestinationStream} from 'pino';

import {pino} from 'pino';

/** Bytes that wait for a slow reader at most; the memory that a log may take. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Largest single write: one that a pipe takes whole or not at all, so that no line is torn. */
const MAX_WRITE_BYTES = 4_096;
/** Burst that may exceed the rate, in seconds of it. */
const BURST_SECONDS = 2;

export interface LogStreamOptions {
  readonly bytesPerSecond: number;
  /** Milliseconds on a steady clock. */
  readonly now: () => number;
  /** Takes the lines that pass; standard output by default. */
  readonly output?: DestinationStream;
}

/** Bounds the volume of a log. */
export class LogStream implements DestinationStream {
  #availableBytes: number;
  #droppedLines = 0;
  #droppedBytes = 0;
  readonly #options: LogStreamOptions;
  readonly #output: DestinationStream;
  #refilledAt: number;

  constructor(options: LogStreamOptions) {
    this.#options = options;
    this.#availableBytes = options.bytesPerSecond * BURST_SECONDS;
    this.#refilledAt = options.now();
    this.#output =
      options.output ??
      pino.destination({
        fd: 1,
        maxLength: MAX_BUFFERED_BYTES,
        maxWrite: MAX_WRITE_BYTES,
        sync: false,
      });
  }

  /** Lines that were left out since the last one that passed. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  write(line: string): void {
    const {bytesPerSecond, now} = this.#options;
    const nowMs = now();
    this.#availableBytes = Math.min(
      bytesPerSecond * BURST_SECONDS,
      this.#availableBytes + ((nowMs - this.#refilledAt) / 1000) * bytesPerSecond,
    );
    this.#refilledAt = nowMs;
    if (line.length > this.#availableBytes) {
      this.#droppedLines += 1;
      this.#droppedBytes += line.length;
      return;
    }
    this.#availableBytes -= line.length;
    if (this.#droppedLines > 0) {
      const notice = {
        leftOutBytes: this.#droppedBytes,
        leftOutLines: this.#droppedLines,
        msg: 'Lines left out.',
      };
      this.#output.write(`${JSON.stringify(notice)}\n`);
      this.#droppedLines = 0;
      this.#droppedBytes = 0;
    }
    this.#output.write(line);
  }
}
