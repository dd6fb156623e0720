/** JSON calls to the platform, with classified failures and validated responses. */

import type {Validator} from '@nutmegproxy/schema';
import type {HttpRequest, HttpResponse} from '@nutmegproxy/store';
import type {Result, ResultAsync} from 'neverthrow';
import type {Dispatcher} from 'undici';

import {exchange} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {PlatformFailure} from './VmList.ts';

import {MAX_RESPONSE_BYTES} from './PlatformConstants.ts';

/** A call whose response body must satisfy `validate`. */
export interface PlatformCall<Value> extends Omit<HttpRequest, 'maxResponseBytes'> {
  readonly validate: Validator<Value>;
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

/** Validates a response; `refused` means that the server did not act on the call. */
export function readResponse<Value>(
  response: HttpResponse,
  validate: Validator<Value>,
): Result<Value, PlatformFailure> {
  if (response.status >= 400 && response.status < 500) {
    return err({kind: 'refused', message: `status ${response.status}`});
  }
  if (response.status !== 200) {
    return err({kind: 'unknown', message: `status ${response.status}`});
  }
  const value = parse(response.body);
  if (!validate(value)) {
    const violation = validate.errors?.[0];
    const message = `${violation?.instancePath ?? ''} ${violation?.message ?? 'not JSON'}`;
    return err({kind: 'malformed', message});
  }
  return ok(value);
}

/** Sends the call once, without retries; `unavailable` means that nothing was sent. */
export function sendPlatformCall(
  dispatcher: Dispatcher,
  call: Omit<HttpRequest, 'maxResponseBytes'>,
): ResultAsync<HttpResponse, PlatformFailure> {
  return exchange(dispatcher, {...call, maxResponseBytes: MAX_RESPONSE_BYTES}).mapErr(
    ({kind, message}): PlatformFailure => ({
      kind: kind === 'not-sent' ? 'unavailable' : 'unknown',
      message,
    }),
  );
}

/** Sends the call once, without retries, and validates the response. */
export function callPlatform<Value>(
  dispatcher: Dispatcher,
  call: PlatformCall<Value>,
): ResultAsync<Value, PlatformFailure> {
  const {validate, ...sent} = call;
  return sendPlatformCall(dispatcher, sent).andThen((response) => readResponse(response, validate));
}
