/** Decodes what callers have stored of a job: its request and its cancellation. */

import type {JobPart, QueueId} from '@nutmegproxy/jobs';
import type {StoredValue} from '@nutmegproxy/store';

import {decodeJob, parseJobKey} from '@nutmegproxy/jobs';

/**
 * Returns what the request and the cancellation of a job say; the queue is undefined without a request that can be
 * decoded.
 *
 * @example
 * decodeRecords([]); // {hasRequest: false, isCancelled: false, queue: undefined}
 */
export function decodeRecords(values: readonly StoredValue[]): {
  readonly hasRequest: boolean;
  readonly isCancelled: boolean;
  readonly queue: QueueId | undefined;
} {
  const findPart = (part: JobPart): StoredValue | undefined =>
    values.find(({key}) => parseJobKey(key)?.part === part);
  const request = findPart('request');
  return {
    hasRequest: request !== undefined,
    isCancelled: findPart('cancel') !== undefined,
    queue: request && decodeJob(request.value).unwrapOr(undefined)?.queue,
  };
}
