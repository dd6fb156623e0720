/** Dispatches requests with an idempotency key, after claiming the key. */

import type {Call} from './Call.ts';
import type {RequestDispatcher} from './RequestDispatcher.ts';
import type {CallResult} from './RequestDispatcher.ts';
import type {ClaimResult, KeyClaim, RequestKeys} from './RequestKeys.ts';

import {ABORTED, raceAbort} from './AbortUtils.ts';

/** Runs a call at most once per key across all entry VMs. */
export class KeyedDispatcher {
  readonly #dispatcher: RequestDispatcher;
  readonly #keys: RequestKeys;

  constructor(dispatcher: RequestDispatcher, keys: RequestKeys) {
    this.#dispatcher = dispatcher;
    this.#keys = keys;
  }

  async run(call: Call, key: string): Promise<CallResult> {
    const claimPromise = this.#keys.claim(call.request.entry, key, call.request.id);
    const result = await raceAbort(claimPromise, call.abort.signal);
    if (result === ABORTED) {
      void this.#releaseAbandonedClaim(claimPromise);
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
    const callResult = await this.#dispatcher.run(call);
    this.#recordResult(result.claim, callResult);
    return callResult;
  }

  #recordResult(claim: KeyClaim, result: CallResult): void {
    if (result.kind === 'answered') {
      this.#keys.recordResult(claim, 'answered');
      return;
    }
    if (result.refusal.outcome === 'outcome-unknown') {
      this.#keys.recordResult(claim, 'unknown');
      return;
    }
    this.#keys.release(claim);
  }

  /** Releases the key of a claim that succeeds after its call was aborted. */
  async #releaseAbandonedClaim(claimPromise: Promise<ClaimResult>): Promise<void> {
    const result = await claimPromise;
    if (result.kind === 'claimed') {
      this.#keys.release(result.claim);
    }
  }
}
