/**
 * Where log lines go: standard output, without ever waiting for its reader. Lines beyond a rate or
 * beyond what a slow reader leaves room for are counted and left out.
 */

import type {DestinationStream} from 'pino';

import {pino} from 'pino';

/** Bytes that wait for a slow reader at most; the memory that a log may take. */
const MAX_WAITING_BYTES = 1_048_576;
/** Largest single write: one that a pipe takes whole or not at all, so that no line is torn. */
const MAX_WRITE_BYTES = 4_096;
/** Burst that may exceed the rate, in seconds of it. */
const BURST_S = 2;

export interface LogStreamOptions {
  readonly bytesPerSecond: number;
  /** Milliseconds on a steady clock. */
  readonly now: () => number;
  /** Takes the lines that pass; standard output by default. */
  readonly output?: DestinationStream;
}

/** Bounds the volume of a log. */
export class LogStream implements DestinationStream {
  #allowance: number;
  #left = 0;
  #leftBytes = 0;
  readonly #options: LogStreamOptions;
  readonly #output: DestinationStream;
  #refilledAt: number;

  constructor(options: LogStreamOptions) {
    this.#options = options;
    this.#allowance = options.bytesPerSecond * BURST_S;
    this.#refilledAt = options.now();
    this.#output =
      options.output ??
      pino.destination({
        fd: 1,
        maxLength: MAX_WAITING_BYTES,
        maxWrite: MAX_WRITE_BYTES,
        sync: false,
      });
  }

  /** Lines that were left out since the last one that passed. */
  get leftOut(): number {
    return this.#left;
  }

  write(line: string): void {
    const {bytesPerSecond, now} = this.#options;
    const time = now();
    this.#allowance = Math.min(
      bytesPerSecond * BURST_S,
      this.#allowance + ((time - this.#refilledAt) / 1000) * bytesPerSecond,
    );
    this.#refilledAt = time;
    if (line.length > this.#allowance) {
      this.#left += 1;
      this.#leftBytes += line.length;
      return;
    }
    this.#allowance -= line.length;
    if (this.#left > 0) {
      const note = {
        leftOutBytes: this.#leftBytes,
        leftOutLines: this.#left,
        msg: 'Lines left out.',
      };
      this.#output.write(`${JSON.stringify(note)}\n`);
      this.#left = 0;
      this.#leftBytes = 0;
    }
    this.#output.write(line);
  }
}
