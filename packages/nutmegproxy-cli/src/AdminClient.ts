/** Client of an entry VM's administration API. */

import type {Secret} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';
import {request} from 'undici';

import {CALL_TIMEOUT_MS} from './CliConstants.ts';

export interface AdminCall {
  readonly body?: unknown;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
}

/** `refused`: the server returned an error. `unreachable`: no valid response was received. */
export type AdminCallFailure =
  | {
      readonly code: string;
      readonly details: Readonly<Record<string, unknown>>;
      readonly kind: 'refused';
      readonly message: string;
    }
  | {readonly kind: 'unreachable'; readonly message: string};

function parseErrorBody(body: unknown): AdminCallFailure {
  const details = (body ?? {}) as Readonly<Record<string, unknown>>;
  const {code, message} = details;
  return {
    code: typeof code === 'string' ? code : 'internal',
    details,
    kind: 'refused',
    message:
      typeof message === 'string' ? message : 'the server returned an error without a message',
  };
}

/** Sends calls to one server with the operator token. */
export class AdminClient {
  readonly server: string;
  readonly #token: Secret;

  constructor(server: string, token: Secret) {
    this.server = server;
    this.#token = token;
  }

  async call({body, method, path}: AdminCall): Promise<Result<unknown, AdminCallFailure>> {
    try {
      const response = await request(new URL(path, this.server), {
        body: body === undefined ? null : JSON.stringify(body),
        headers: {
          authorization: `Bearer ${this.#token.reveal()}`,
          'content-type': 'application/json',
        },
        headersTimeout: CALL_TIMEOUT_MS,
        method,
        reset: true,
      });
      const parsed: unknown = await response.body.json();
      return response.statusCode < 300 ? ok(parsed) : err(parseErrorBody(parsed));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return err({kind: 'unreachable', message: `${this.server}: ${message}`});
    }
  }
}
