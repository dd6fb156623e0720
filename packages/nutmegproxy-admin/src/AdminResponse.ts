/** Responses of the administration API. */

/** Body of every error response. */
export interface AdminError {
  readonly code: AdminErrorCode;
  /** Path of the invalid field, if the error concerns one. */
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

/** `body` is sent as JSON, `text` unchanged. */
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
 * Creates a response with a JSON body.
 *
 * @example
 * return createJsonResponse({revision: 7});
 */
export function createJsonResponse(body: unknown, status = 200): AdminResponse {
  return {body, kind: 'json', status};
}

/**
 * Creates an error response; `extra` adds fields to its body, such as the current revision.
 *
 * @example
 * return createErrorResponse({code: 'not-found', message: 'drain not found'});
 */
export function createErrorResponse(
  error: AdminError,
  extra: Readonly<Record<string, unknown>> = {},
): AdminResponse {
  return {body: {...error, ...extra}, kind: 'json', status: STATUSES[error.code]};
}
