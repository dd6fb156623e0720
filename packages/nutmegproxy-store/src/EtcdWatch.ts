/** A watch over the gateway's streaming call, which is reopened whenever the connection is lost. */

import type {EventSink} from '@nutmegproxy/core';

import {setTimeout as sleep} from 'node:timers/promises';
import {Client, errors} from 'undici';

import type {EtcdEndpoints} from './EtcdEndpoints.ts';
import type {EtcdWatchResponse} from './EtcdJson.ts';
import type {Watch, WatchHandler} from './PlatformStore.ts';
import type {StoreMetrics} from './StoreMetrics.ts';

import {decodeWatchEvent, encodePrefixEnd, encodeText, parseMessage} from './EtcdJson.ts';
import {
  CONNECT_TIMEOUT_MS,
  WATCH_IDLE_TIMEOUT_MS,
  WATCH_MAX_MESSAGE_CHARACTERS,
  WATCH_MAX_RETRY_DELAY_MS,
  WATCH_MIN_RETRY_DELAY_MS,
  WATCH_OPEN_TIMEOUT_MS,
} from './StoreConstants.ts';
import {STORE_EVENTS} from './StoreEvents.ts';

/** The parts of the store that a watch uses. */
export interface WatchDependencies {
  readonly endpoints: EtcdEndpoints;
  readonly events: EventSink;
  readonly idleTimeoutMs?: number;
  readonly metrics: StoreMetrics;
}

interface WatchMessage {
  readonly error?: {readonly message?: string};
  readonly result?: EtcdWatchResponse;
}

const IDLE_TIMEOUT_REASON = 'no message within the idle timeout';

/** Splits a stream of text into lines. */
async function* readLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let remainder = '';
  for await (const chunk of chunks) {
    remainder += decoder.decode(chunk, {stream: true});
    if (remainder.length > WATCH_MAX_MESSAGE_CHARACTERS) {
      throw new Error('watch message exceeds the maximum length');
    }
    const lines = remainder.split('\n');
    remainder = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}

/** Watches the changes under a prefix until it is closed. */
export class EtcdWatch implements Watch {
  readonly #aborter = new AbortController();
  readonly #handler: WatchHandler;
  /** Why events were lost; reported to the handler once the watch is open again. */
  #lossReason: string | undefined;
  /** First revision that the handler has not received; 0 starts at the store's current revision. */
  #nextRevision: number;
  readonly #prefix: string;
  #retryDelayMs = WATCH_MIN_RETRY_DELAY_MS;
  readonly #dependencies: WatchDependencies;

  constructor(
    dependencies: WatchDependencies,
    prefix: string,
    fromRevision: number,
    handler: WatchHandler,
  ) {
    this.#dependencies = dependencies;
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
      const baseUrl = this.#dependencies.endpoints.current();
      const reason = await this.#follow(baseUrl);
      if (this.#isClosed()) {
        return;
      }
      // An idle watch can't be distinguished from a lost connection; it is reopened without delay.
      if (reason !== IDLE_TIMEOUT_REASON) {
        this.#dependencies.events.record(STORE_EVENTS.WATCH_DISCONNECTED, {
          prefix: this.#prefix,
          reason,
        });
        this.#dependencies.endpoints.switchFrom(baseUrl);
        await this.#waitBeforeRetry();
      }
    }
  }

  /** Opens the watch and reads it until it ends; returns the reason. */
  async #follow(baseUrl: string): Promise<string> {
    const client = new Client(new URL(baseUrl).origin, {
      bodyTimeout: this.#dependencies.idleTimeoutMs ?? WATCH_IDLE_TIMEOUT_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: WATCH_OPEN_TIMEOUT_MS,
    });
    this.#dependencies.metrics.adjustOpenWatches(1);
    try {
      const response = await client.request({
        body: JSON.stringify(this.#buildRequest()),
        headers: {'content-type': 'application/json'},
        method: 'POST',
        path: `${new URL(baseUrl).pathname.replace(/\/$/, '')}/v3/watch`,
        signal: this.#aborter.signal,
      });
      this.#dependencies.metrics.countCall(
        'watch',
        response.statusCode === 200 ? 'ok' : 'rejected',
        0,
      );
      return await this.#readResponses(response.body);
    } catch (error) {
      return error instanceof errors.BodyTimeoutError ? IDLE_TIMEOUT_REASON : String(error);
    } finally {
      this.#dependencies.metrics.adjustOpenWatches(-1);
      void client.destroy();
    }
  }

  #buildRequest() {
    const range = {key: encodeText(this.#prefix), rangeEnd: encodePrefixEnd(this.#prefix)};
    return {createRequest: {...range, startRevision: String(this.#nextRevision)}};
  }

  async #readResponses(body: AsyncIterable<Buffer>): Promise<string> {
    for await (const line of readLines(body)) {
      const message = parseMessage(line) as WatchMessage;
      if (this.#isClosed()) {
        return 'closed';
      }
      if (message.result === undefined) {
        return message.error?.message ?? 'unexpected message';
      }
      if (!this.#handleResponse(message.result)) {
        return 'events lost';
      }
    }
    return 'end of stream';
  }

  /** Handles one response; returns false when the watch has to be restarted. */
  #handleResponse(response: EtcdWatchResponse): boolean {
    const revision = Number(response.header?.revision ?? 0);
    if (response.canceled === true || response.compactRevision !== undefined) {
      return this.#restart(response.cancelReason ?? 'revision is compacted');
    }
    if (response.created === true) {
      return this.#handleCreated(revision);
    }
    this.#deliver(response);
    return true;
  }

  #handleCreated(revision: number): boolean {
    this.#retryDelayMs = WATCH_MIN_RETRY_DELAY_MS;
    if (this.#nextRevision > revision + 1) {
      return this.#restart('the revision of the store decreased');
    }
    if (this.#nextRevision === 0) {
      this.#nextRevision = revision + 1;
    }
    if (this.#lossReason !== undefined) {
      const message = this.#lossReason;
      this.#lossReason = undefined;
      // Reported only now that the watch is open: a read that the handler starts in this call and
      // the events of the watch leave no gap.
      this.#handler.onBroken({kind: 'unavailable', message});
    }
    return true;
  }

  #restart(reason: string): false {
    this.#dependencies.events.record(STORE_EVENTS.WATCH_BROKEN, {prefix: this.#prefix, reason});
    this.#lossReason = reason;
    this.#nextRevision = 0;
    return false;
  }

  #deliver(response: EtcdWatchResponse): void {
    const events = (response.events ?? []).map(decodeWatchEvent);
    const revisions = events.map((event) =>
      event.kind === 'put' ? event.stored.modRevision : event.modRevision,
    );
    if (events.length === 0) {
      return;
    }
    // The header's revision may be higher than that of events that have yet to arrive.
    const lastRevision = Math.max(...revisions);
    this.#nextRevision = lastRevision + 1;
    this.#handler.onEvents(events, lastRevision);
  }

  async #waitBeforeRetry(): Promise<void> {
    const delayMs = this.#retryDelayMs * (0.5 + Math.random() / 2);
    this.#retryDelayMs = Math.min(this.#retryDelayMs * 2, WATCH_MAX_RETRY_DELAY_MS);
    await sleep(delayMs, undefined, {signal: this.#aborter.signal}).catch(() => undefined);
  }
}
