/** Parses values that owners store as JSON. */

import {Result} from 'neverthrow';

/**
 * Parses the text of a stored value; the error says what is malformed.
 *
 * @example
 * parseJson('{"term":3}'); // ok({term: 3})
 */
export const parseJson = Result.fromThrowable(
  (text: string) => JSON.parse(text) as unknown,
  String,
);
