/** A route and a call for the tests of the job API. */

import type {RequestId} from '@nutmegproxy/core';
import type {QueueId, ServiceId} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';

import type {QueueRoute} from '../../Configuration.ts';

export const ROUTE: QueueRoute = {
  advice: undefined,
  host: 'host',
  id: 'proofs' as QueueId,
  maxAttempts: 2,
  pathPrefix: '/p/',
  priority: 0,
  service: 'mesa' as ServiceId,
  stretch: 2,
  targetDurationMs: 1000,
};
export const CALL = {requestId: brand<RequestId>('request-1'), timeoutMs: 400};
