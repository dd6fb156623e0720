/** Answers of the administration API. */

/** Body of every answer that is no success. */
export interface AdminError {
  readonly code: AdminErrorCode;
  /** Path of the field that is at fault, if one is. */
  readonly field?: string;
  readonly message: string;
}

export type AdminErrorCode =
  | 'conflict'
  | 'internal'
  | 'invalid'
  | 'not-allowed'
  | 'not-found'
  | 'too-large'
  | 'unauthorized'
  | 'unavailable'
  | 'unknown';

/** `body` is sent as JSON, `text` as it is. */
export type AdminResponse =
  | {readonly body: unknown; readonly kind: 'json'; readonly status: number}
  | {
      readonly contentType: string;
      readonly kind: 'text';
      readonly status: number;
      readonly text: string;
    };

const STATUSES: Readonly<Record<AdminErrorCode, number>> = {
  conflict: 409,
  internal: 500,
  invalid: 422,
  'not-allowed': 405,
  'not-found': 404,
  'too-large': 413,
  unauthorized: 401,
  unavailable: 503,
  unknown: 504,
};

/**
 * A successful answer.
 *
 * @example
 * return answerJson({revision: 7});
 */
export function createJsonResponse(body: unknown, status = 200): AdminResponse {
  return {body, kind: 'json', status};
}

/**
 * An error answer; `more` adds fields that help the caller, such as the current revision.
 *
 * @example
 * return answerError({code: 'not-found', message: 'no such drain'});
 */
export function createErrorResponse(
  error: AdminError,
  extra: Readonly<Record<string, unknown>> = {},
): AdminResponse {
  return {body: {...error, ...extra}, kind: 'json', status: STATUSES[error.code]};
}
