/** Requests that wait for a response over one link. */

import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {PeerFailure} from './PeerMesh.ts';

import {MAX_REQUESTS_IN_FLIGHT} from './PeersConstants.ts';

type Settler = (response: Result<unknown, PeerFailure>) => void;

/** Matches responses with requests; at most MAX_REQUESTS_IN_FLIGHT are pending at a time. */
export class PendingRequests {
  #nextId = 1;
  readonly #settlers = new Map<number, Settler>();

  /** Settles the request `id`; a late response is dropped. */
  settle(id: number, body: unknown, refused: string | undefined): void {
    const result =
      refused === undefined ? ok(body) : err({kind: 'refused' as const, message: refused});
    this.#settlers.get(id)?.(result);
  }

  /** Fails all requests after the link has closed; the peer may have handled any of them. */
  failAll(): void {
    const failure: PeerFailure = {kind: 'unknown', message: 'the link closed before the response'};
    for (const settle of [...this.#settlers.values()]) {
      settle(err(failure));
    }
  }

  /** Calls `send` with a new id and waits for the response; `send` returns whether it succeeded. */
  async start(
    timeoutMs: number,
    send: (id: number) => boolean,
  ): Promise<Result<unknown, PeerFailure>> {
    if (this.#settlers.size >= MAX_REQUESTS_IN_FLIGHT) {
      return err({kind: 'unreachable', message: 'too many pending requests to this peer'});
    }
    const id = this.#nextId;
    this.#nextId += 1;
    const response = this.#waitForResponse(id, timeoutMs);
    if (!send(id)) {
      this.#settlers.get(id)?.(err({kind: 'unreachable', message: 'the link is closed'}));
    }
    return response;
  }

  #waitForResponse(id: number, timeoutMs: number): Promise<Result<unknown, PeerFailure>> {
    return new Promise((resolve) => {
      const settle: Settler = (response) => {
        clearTimeout(timer);
        this.#settlers.delete(id);
        resolve(response);
      };
      const timer = setTimeout(() => {
        settle(err({kind: 'unknown', message: 'no response in time'}));
      }, timeoutMs);
      this.#settlers.set(id, settle);
    });
  }
}
