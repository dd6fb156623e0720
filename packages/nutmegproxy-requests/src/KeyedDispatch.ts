/** Dispatch of requests that carry an idempotency key: the key is taken first. */

import type {Call} from './Call.ts';
import type {RequestDispatcher} from './RequestDispatcher.ts';
import type {CallEnd} from './RequestDispatcher.ts';
import type {ClaimResult, KeyClaim, RequestKeys} from './RequestKeys.ts';

import {ABORTED, untilAborted} from './AbortUtils.ts';

/** Runs calls at most once per key, over all entry VMs. */
export class KeyedDispatch {
  readonly #dispatcher: RequestDispatcher;
  readonly #keys: RequestKeys;

  constructor(dispatcher: RequestDispatcher, keys: RequestKeys) {
    this.#dispatcher = dispatcher;
    this.#keys = keys;
  }

  async run(call: Call, key: string): Promise<CallEnd> {
    const claiming = this.#keys.claim(call.waiting.entry, key, call.waiting.id);
    const result = await untilAborted(claiming, call.abort.signal);
    if (result === ABORTED) {
      void this.#releaseLate(claiming);
      return {kind: 'refused', refusal: {code: 'deadline-passed', outcome: 'not-run'}};
    }
    if (result.kind === 'known') {
      const {state} = result;
      return {kind: 'refused', refusal: {code: 'key-known', firstTry: state, outcome: 'not-run'}};
    }
    if (result.kind === 'unavailable') {
      const {retryAfterMs} = result;
      return {kind: 'refused', refusal: {code: 'key-store-down', outcome: 'not-run', retryAfterMs}};
    }
    const end = await this.#dispatcher.run(call);
    this.#record(result.claim, end);
    return end;
  }

  #record(claim: KeyClaim, end: CallEnd): void {
    if (end.kind === 'answered') {
      this.#keys.finish(claim, 'answered');
      return;
    }
    if (end.refusal.outcome === 'outcome-unknown') {
      this.#keys.finish(claim, 'unknown');
      return;
    }
    this.#keys.release(claim);
  }

  /** The caller waits no longer, so a key that is still taken must be freed. */
  async #releaseLate(claiming: Promise<ClaimResult>): Promise<void> {
    const result = await claiming;
    if (result.kind === 'claimed') {
      this.#keys.release(result.claim);
    }
  }
}
