/** A VM's view of the store: calls and responses pass through its event loop, which is charged for them. */

import type {
  LeaseId,
  LeaseResponse,
  OperationResponse,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
  WatchHandler,
} from '@nutmegproxy/store';

import {parseJobKey} from '@nutmegproxy/jobs';
import {ResultAsync} from 'neverthrow';

import type {EmulatedLoop} from './EmulatedLoop.ts';
import type {EmulatedVms} from './EmulatedVms.ts';

import {DECODED_RECORD_MS, STORE_CALL_MS} from './TakeoverCosts.ts';

/** Time in milliseconds from a call to its execution, and from there to the response. */
const ONE_WAY_MS = 2;

export class LoopStore implements PlatformStore {
  readonly #loop: EmulatedLoop;
  readonly #store: PlatformStore;
  readonly #vms: EmulatedVms;

  constructor(vms: EmulatedVms, loop: EmulatedLoop, store: PlatformStore) {
    this.#loop = loop;
    this.#store = store;
    this.#vms = vms;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    return this.#call(() => this.#store.commit(transaction)).map((response) => ({
      ...response,
      responses: response.responses.map((each) => this.#chargeDecoding(each)),
    }));
  }

  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call(() => this.#store.grantLease(ttlSeconds));
  }

  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call(() => this.#store.keepLeaseAlive(lease));
  }

  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure> {
    return this.#call(() => this.#store.revokeLease(lease));
  }

  watch(prefix: string, fromRevision: number, handler: WatchHandler): Watch {
    let isOpen = true;
    const deliver = (handle: () => void): void => {
      this.#receive(() => {
        if (isOpen) {
          handle();
        }
      });
    };
    const watch = this.#store.watch(prefix, fromRevision, {
      onBroken: (failure) => {
        deliver(() => {
          handler.onBroken(failure);
        });
      },
      onEvents: (events, revision) => {
        deliver(() => {
          handler.onEvents(events, revision);
        });
      },
    });
    const close = (): void => {
      isOpen = false;
      watch.close();
    };
    return {close};
  }

  #call<Response>(
    execute: () => ResultAsync<Response, StoreFailure>,
  ): ResultAsync<Response, StoreFailure> {
    this.#loop.charge(STORE_CALL_MS);
    return new ResultAsync(
      new Promise((resolve) => {
        this.#loop.send(ONE_WAY_MS, () => {
          void execute().then((response) => {
            this.#receive(() => {
              resolve(response);
            });
          });
        });
      }),
    );
  }

  /** Charges for each decoding of a job's record in a response. */
  #chargeDecoding(response: OperationResponse): OperationResponse {
    return response.kind === 'get'
      ? {...response, values: response.values.map((value) => this.#chargeValue(value))}
      : response;
  }

  #chargeValue(stored: StoredValue): StoredValue {
    if (parseJobKey(stored.key) === undefined) {
      return stored;
    }
    const value = Buffer.from(stored.value);
    value.toString = (...args) => {
      this.#loop.charge(DECODED_RECORD_MS);
      return stored.value.toString(...args);
    };
    return {...stored, value};
  }

  #receive(handle: () => void): void {
    this.#loop.receive(this.#vms.nowMs + ONE_WAY_MS, handle, true);
  }
}
