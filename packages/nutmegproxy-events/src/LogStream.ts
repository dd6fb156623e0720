/**
 * Writes log lines to standard output without ever blocking on its reader. Lines above a rate limit
 * are counted and dropped, those of frequent events first; lines that do not fit into the buffer for
 * a slow reader are dropped.
 */

import type {DestinationStream} from 'pino';

import {pino} from 'pino';

import type {LogDestination} from './EventLog.ts';

/** Maximum number of bytes buffered for a slow reader; bounds the memory of the log. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Maximum size of a write in bytes: a pipe accepts it whole or not at all, so no line is split. */
const MAX_WRITE_BYTES = 4_096;
/** Size in bytes below which there is no line: each names its VM, its code and its text. */
const MIN_LINE_BYTES = 200;
/** Burst above the rate limit that is allowed, in seconds at that rate. */
const BURST_SECONDS = 2;
/** Part of the burst that frequent lines leave to others, less one line, in seconds at that rate. */
const RESERVED_SECONDS = 0.5;

export interface LogStreamOptions {
  readonly bytesPerSecond: number;
  /** Returns the time in milliseconds of a monotonic clock. */
  readonly now: () => number;
  /** Destination of the lines that are not dropped; standard output by default. */
  readonly output?: DestinationStream;
}

/** A log destination that limits the bytes per second. */
export class LogStream implements LogDestination {
  #availableBytes: number;
  #droppedLines = 0;
  /** Size of those of the dropped lines whose text was produced. */
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

  /** Number of lines dropped since the last line that was written. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /**
   * Drops the next line if none fits now, so that its text need not be produced. A frequent line
   * has to leave the reserve for others.
   */
  dropIfExhausted(isFrequent = false): boolean {
    this.#refill();
    const reservedBytes = isFrequent ? this.#options.bytesPerSecond * RESERVED_SECONDS : 0;
    const isExhausted = this.#availableBytes - reservedBytes < MIN_LINE_BYTES;
    this.#droppedLines += isExhausted ? 1 : 0;
    return isExhausted;
  }

  write(line: string): void {
    this.#refill();
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
        msg: 'Log lines were dropped.',
      };
      this.#output.write(`${JSON.stringify(notice)}\n`);
      this.#droppedLines = 0;
      this.#droppedBytes = 0;
    }
    this.#output.write(line);
  }

  #refill(): void {
    const {bytesPerSecond, now} = this.#options;
    const nowMs = now();
    this.#availableBytes = Math.min(
      bytesPerSecond * BURST_SECONDS,
      this.#availableBytes + ((nowMs - this.#refilledAt) / 1000) * bytesPerSecond,
    );
    this.#refilledAt = nowMs;
  }
}
