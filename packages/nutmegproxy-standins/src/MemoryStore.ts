/** An in-memory store for unit tests, with the engine and faults of the store stand-in. */

import type {Clock} from '@nutmegproxy/core';
import type {
  LeaseId,
  LeaseResponse,
  PlatformStore,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
  WatchEvent,
  WatchHandler,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {isWrite} from '@nutmegproxy/store';
import {err, ok, ResultAsync} from 'neverthrow';
import {setTimeout as sleep} from 'node:timers/promises';

import {LATE_CALL_TIMEOUT_MS} from './StandinsConstants.ts';
import {StoreEngine} from './StoreEngine.ts';
import {StoreFaults} from './StoreFaults.ts';

/** A watch that buffers events while the store is down. */
class MemoryWatch {
  #close: () => void = () => undefined;
  readonly #engine: StoreEngine;
  readonly #faults: StoreFaults;
  readonly #handler: WatchHandler;
  #open = true;
  #pending: {readonly events: readonly WatchEvent[]; readonly revision: number}[] = [];

  constructor(engine: StoreEngine, faults: StoreFaults, handler: WatchHandler) {
    this.#engine = engine;
    this.#faults = faults;
    this.#handler = handler;
  }

  close(): void {
    this.#open = false;
    this.#close();
  }

  flush(): void {
    queueMicrotask(() => {
      if (!this.#open || this.#faults.down) {
        return;
      }
      const batches = this.#pending;
      this.#pending = [];
      for (const {events, revision} of batches) {
        this.#handler.onEvents(events, revision);
      }
    });
  }

  open(prefix: string, fromRevision: number): void {
    const subscription = this.#engine.subscribe(prefix, fromRevision, (events, revision) => {
      this.#pending.push({events, revision});
      this.flush();
    });
    this.#close = subscription.close;
    if (subscription.compactedRevision !== undefined) {
      this.open(prefix, 0);
      queueMicrotask(() => {
        this.#handler.onBroken({kind: 'unavailable', message: 'revision is compacted'});
      });
      return;
    }
    if (subscription.missedEvents.length > 0) {
      this.#pending.push({events: subscription.missedEvents, revision: subscription.revision});
      this.flush();
    }
  }
}

/**
 * A client of a store engine. Several clients of one engine, each with its own faults, simulate
 * several processes.
 *
 * @example
 * const store = new MemoryStore(new ManualClock());
 * store.faults.change({loseNext: 1});
 */
export class MemoryStore implements PlatformStore {
  readonly engine: StoreEngine;
  readonly faults = new StoreFaults();
  readonly #clock: Clock;
  readonly #watches = new Set<MemoryWatch>();

  constructor(clock: Clock = SYSTEM_CLOCK, engine = new StoreEngine()) {
    this.#clock = clock;
    this.engine = engine;
    this.faults.onChange = () => {
      for (const watch of this.#watches) {
        watch.flush();
      }
    };
  }

  close(): Promise<void> {
    for (const watch of this.#watches) {
      watch.close();
    }
    this.#watches.clear();
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    const lostResponseKind = isWrite(transaction) ? 'unknown' : 'unavailable';
    return this.#call(lostResponseKind, () =>
      this.engine.commit(transaction, this.#clock.monotonic()),
    );
  }

  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call('unknown', () => this.engine.grantLease(ttlSeconds, this.#clock.monotonic()));
  }

  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call('unknown', () => this.engine.keepLeaseAlive(lease, this.#clock.monotonic()));
  }

  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure> {
    return this.#call('unknown', () => {
      this.engine.revokeLease(lease, this.#clock.monotonic());
    });
  }

  /** Events are delivered in a later microtask; events during an outage are delivered after it. */
  watch(prefix: string, fromRevision: number, handler: WatchHandler): Watch {
    const watch = new MemoryWatch(this.engine, this.faults, handler);
    watch.open(prefix, fromRevision);
    this.#watches.add(watch);
    return {
      close: () => {
        this.#watches.delete(watch);
        watch.close();
      },
    };
  }

  #call<Response>(
    lostResponseKind: StoreFailure['kind'],
    execute: () => Response,
  ): ResultAsync<Response, StoreFailure> {
    return new ResultAsync(this.#run(lostResponseKind, execute));
  }

  async #run<Response>(
    lostResponseKind: StoreFailure['kind'],
    execute: () => Response,
  ): Promise<Result<Response, StoreFailure>> {
    if (this.faults.delayMs > 0) {
      await sleep(this.faults.delayMs);
    } else {
      await Promise.resolve();
    }
    if (this.faults.down) {
      return err({kind: 'unavailable', message: 'the store is down'});
    }
    const latenessMs = lostResponseKind === 'unknown' ? this.faults.drawLatenessMs() : 0;
    if (latenessMs > 0) {
      void delay(latenessMs).then(execute);
      await delay(LATE_CALL_TIMEOUT_MS);
      return err({kind: lostResponseKind, message: 'the call is carried out late'});
    }
    const response = execute();
    return this.faults.shouldDropResponse()
      ? err({kind: lostResponseKind, message: 'the response was lost'})
      : ok(response);
  }
}
