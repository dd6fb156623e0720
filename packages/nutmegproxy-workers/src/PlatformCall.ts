/** One JSON call to the platform, with its failure classified and its answer validated. */

import type {Validator} from '@nutmegproxy/schema';
import type {HttpRequest, HttpResponse} from '@nutmegproxy/store';
import type {Result, ResultAsync} from 'neverthrow';
import type {Dispatcher} from 'undici';

import {exchange} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {PlatformFailure} from './VmList.ts';

import {MAX_ANSWER_BYTES} from './PlatformConstants.ts';

/** A call whose answer must satisfy `validate`. */
export interface PlatformCall<Answer> extends Omit<HttpRequest, 'maxResponseBytes'> {
  readonly validate: Validator<Answer>;
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

/** Validates an answer; `refused` means that the other side did nothing. */
export function readAnswer<Answer>(
  answer: HttpResponse,
  validate: Validator<Answer>,
): Result<Answer, PlatformFailure> {
  if (answer.status >= 400 && answer.status < 500) {
    return err({kind: 'refused', message: `status ${answer.status}`});
  }
  if (answer.status !== 200) {
    return err({kind: 'unknown', message: `status ${answer.status}`});
  }
  const value = parse(answer.body);
  if (!validate(value)) {
    const violation = validate.errors?.[0];
    const message = `${violation?.instancePath ?? ''} ${violation?.message ?? 'not JSON'}`;
    return err({kind: 'malformed', message});
  }
  return ok(value);
}

/** Sends the call once; `unavailable` means that nothing of it was sent. */
export function sendPlatform(
  dispatcher: Dispatcher,
  call: Omit<HttpRequest, 'maxResponseBytes'>,
): ResultAsync<HttpResponse, PlatformFailure> {
  return exchange(dispatcher, {...call, maxResponseBytes: MAX_ANSWER_BYTES}).mapErr(
    ({kind, message}): PlatformFailure => ({
      kind: kind === 'not-sent' ? 'unavailable' : 'unknown',
      message,
    }),
  );
}

/** Sends the call once and validates its answer. */
export function callPlatform<Answer>(
  dispatcher: Dispatcher,
  call: PlatformCall<Answer>,
): ResultAsync<Answer, PlatformFailure> {
  const {validate, ...sent} = call;
  return sendPlatform(dispatcher, sent).andThen((answer) => readAnswer(answer, validate));
}
