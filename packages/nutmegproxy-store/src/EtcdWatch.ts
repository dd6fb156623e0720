/** A watch over the gateway's streaming call: one task that opens it again whenever it is cut. */

import type {EventSink} from '@nutmegproxy/core';

import {setTimeout as sleep} from 'node:timers/promises';
import {Client, errors} from 'undici';

import type {EtcdEndpoints} from './EtcdEndpoints.ts';
import type {EtcdWatchAnswer} from './EtcdJson.ts';
import type {Watch, WatchHandler} from './PlatformStore.ts';
import type {StoreMetrics} from './StoreMetrics.ts';

import {decodeWatchEvent, encodeText, parseMessage, prefixEnd} from './EtcdJson.ts';
import {
  CONNECT_TIMEOUT_MS,
  WATCH_IDLE_TIMEOUT_MS,
  WATCH_MAX_MESSAGE_CHARACTERS,
  WATCH_MAX_RETRY_DELAY_MS,
  WATCH_MIN_RETRY_DELAY_MS,
  WATCH_OPEN_TIMEOUT_MS,
} from './StoreConstants.ts';
import {STORE_EVENTS} from './StoreEvents.ts';

/** What a watch needs of its store. */
export interface WatchServices {
  readonly endpoints: EtcdEndpoints;
  readonly events: EventSink;
  readonly idleTimeoutMs?: number;
  readonly metrics: StoreMetrics;
}

interface WatchMessage {
  readonly error?: {readonly message?: string};
  readonly result?: EtcdWatchAnswer;
}

const QUIET = 'nothing was heard';

/** Splits a stream of text into lines. */
async function* readLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of chunks) {
    rest += decoder.decode(chunk, {stream: true});
    if (rest.length > WATCH_MAX_MESSAGE_CHARACTERS) {
      throw new Error('a message of the watch is too long');
    }
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}

/** Follows the changes under a prefix until it is closed. */
export class EtcdWatch implements Watch {
  readonly #aborter = new AbortController();
  readonly #handler: WatchHandler;
  /** Events were lost; told to the holder once the watch is open again. */
  #lost: string | undefined;
  /** First revision that the holder has not seen; 0 means from now on. */
  #nextRevision: number;
  readonly #prefix: string;
  #retryDelayMs = WATCH_MIN_RETRY_DELAY_MS;
  readonly #services: WatchServices;

  constructor(
    services: WatchServices,
    prefix: string,
    fromRevision: number,
    handler: WatchHandler,
  ) {
    this.#services = services;
    this.#prefix = prefix;
    this.#nextRevision = fromRevision;
    this.#handler = handler;
    void this.#run();
  }

  close(): void {
    this.#aborter.abort();
  }

  #isClosed(): boolean {
    return this.#aborter.signal.aborted;
  }

  async #run(): Promise<void> {
    while (!this.#isClosed()) {
      const baseUrl = this.#services.endpoints.current();
      const reason = await this.#follow(baseUrl);
      if (this.#isClosed()) {
        return;
      }
      // A quiet watch is opened again at once, as nothing tells it from one that is cut.
      if (reason !== QUIET) {
        this.#services.events.record(STORE_EVENTS.WATCH_CUT, {prefix: this.#prefix, reason});
        this.#services.endpoints.leave(baseUrl);
        await this.#pause();
      }
    }
  }

  /** Opens the watch and reads it to its end; returns why it ended. */
  async #follow(baseUrl: string): Promise<string> {
    const client = new Client(new URL(baseUrl).origin, {
      bodyTimeout: this.#services.idleTimeoutMs ?? WATCH_IDLE_TIMEOUT_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: WATCH_OPEN_TIMEOUT_MS,
    });
    this.#services.metrics.countWatch(1);
    try {
      const answer = await client.request({
        body: JSON.stringify(this.#request()),
        headers: {'content-type': 'application/json'},
        method: 'POST',
        path: `${new URL(baseUrl).pathname.replace(/\/$/, '')}/v3/watch`,
        signal: this.#aborter.signal,
      });
      this.#services.metrics.countCall('watch', answer.statusCode === 200 ? 'ok' : 'rejected', 0);
      return await this.#readAnswers(answer.body);
    } catch (error) {
      return error instanceof errors.BodyTimeoutError ? QUIET : String(error);
    } finally {
      this.#services.metrics.countWatch(-1);
      void client.destroy();
    }
  }

  #request() {
    const range = {key: encodeText(this.#prefix), rangeEnd: prefixEnd(this.#prefix)};
    return {createRequest: {...range, startRevision: String(this.#nextRevision)}};
  }

  async #readAnswers(body: AsyncIterable<Buffer>): Promise<string> {
    for await (const line of readLines(body)) {
      const message = parseMessage(line) as WatchMessage;
      if (this.#isClosed()) {
        return 'closed';
      }
      if (message.result === undefined) {
        return message.error?.message ?? 'unexpected message';
      }
      if (!this.#take(message.result)) {
        return 'events lost';
      }
    }
    return 'end of stream';
  }

  /** Handles one answer; false when the watch has to start anew. */
  #take(answer: EtcdWatchAnswer): boolean {
    const revision = Number(answer.header?.revision ?? 0);
    if (answer.canceled === true || answer.compactRevision !== undefined) {
      return this.#startAnew(answer.cancelReason ?? 'revision is compacted');
    }
    if (answer.created === true) {
      return this.#opened(revision);
    }
    this.#deliver(answer);
    return true;
  }

  #opened(revision: number): boolean {
    this.#retryDelayMs = WATCH_MIN_RETRY_DELAY_MS;
    if (this.#nextRevision > revision + 1) {
      return this.#startAnew('the revision of the store went back');
    }
    if (this.#nextRevision === 0) {
      this.#nextRevision = revision + 1;
    }
    if (this.#lost !== undefined) {
      const message = this.#lost;
      this.#lost = undefined;
      // Only now: what the holder reads after this call and the watch leave no gap.
      this.#handler.onBroken({kind: 'unavailable', message});
    }
    return true;
  }

  #startAnew(reason: string): false {
    this.#services.events.record(STORE_EVENTS.WATCH_BROKEN, {prefix: this.#prefix, reason});
    this.#lost = reason;
    this.#nextRevision = 0;
    return false;
  }

  #deliver(answer: EtcdWatchAnswer): void {
    const events = (answer.events ?? []).map(decodeWatchEvent);
    const revisions = events.map((event) =>
      event.kind === 'put' ? event.stored.modRevision : event.modRevision,
    );
    if (events.length === 0) {
      return;
    }
    // The header may be ahead of the events that are still to come.
    const last = Math.max(...revisions);
    this.#nextRevision = last + 1;
    this.#handler.onEvents(events, last);
  }

  async #pause(): Promise<void> {
    const delayMs = this.#retryDelayMs * (0.5 + Math.random() / 2);
    this.#retryDelayMs = Math.min(this.#retryDelayMs * 2, WATCH_MAX_RETRY_DELAY_MS);
    await sleep(delayMs, undefined, {signal: this.#aborter.signal}).catch(() => undefined);
  }
}
