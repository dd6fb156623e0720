/**
 * Writes log lines to standard output without ever blocking on its reader, several at a time: each write wakes
 * up a thread, and the process again at its end. Lines above a rate limit
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
/** Time in milliseconds for which a line waits for others to be written with it. */
const MAX_LINE_DELAY_MS = 50;
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
  /** Lines that are written together, and their size in bytes. */
  #pending = '';
  #pendingBytes = 0;
  #refilledAt: number;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LogStreamOptions) {
    this.#options = options;
    this.#availableBytes = options.bytesPerSecond * BURST_SECONDS;
    this.#refilledAt = options.now();
    this.#output = options.output ?? this.#openStandardOutput();
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
      this.#append(`${JSON.stringify(notice)}\n`);
      this.#droppedLines = 0;
      this.#droppedBytes = 0;
    }
    this.#append(line);
  }

  /** Writes the lines that wait for others. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#pending !== '') {
      const lines = this.#pending;
      this.#pending = '';
      this.#pendingBytes = 0;
      this.#output.write(lines);
    }
  }

  #append(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#pendingBytes + bytes > MAX_WRITE_BYTES) {
      this.flush();
    }
    this.#pending += line;
    this.#pendingBytes += bytes;
    this.#timer ??= setTimeout(() => {
      this.flush();
    }, MAX_LINE_DELAY_MS);
  }

  #openStandardOutput(): DestinationStream {
    // Registered before the stream, which writes what it has when the process exits.
    process.once('exit', () => {
      this.flush();
    });
    return pino.destination({
      fd: 1,
      maxLength: MAX_BUFFERED_BYTES,
      maxWrite: MAX_WRITE_BYTES,
      sync: false,
    });
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
