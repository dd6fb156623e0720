/** Routes that show what the process did: the time line and the metrics. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {EventLog} from '@nutmegproxy/events';

import {mergeUnregister} from '@nutmegproxy/core';

import type {AdminApi} from './AdminApi.ts';

import {answerError, answerJson} from './AdminAnswer.ts';
import {registerAdminRoute} from './AdminApi.ts';
import {MAX_TIMELINE_EVENTS} from './AdminConstants.ts';

/**
 * Registers `GET /v1/timeline?since=` and `GET /metrics`.
 *
 * @example
 * const unregister = registerTimelineRoutes(api, node, log);
 */
export function registerTimelineRoutes(api: AdminApi, node: EntryNode, log: EventLog): Unregister {
  const {dataCentre, incarnation, vm} = node.identity;
  return mergeUnregister(
    registerAdminRoute(api, {
      handler: ({query}) => {
        const since = Number(query.get('since') ?? 0);
        if (!Number.isSafeInteger(since) || since < 0) {
          const message = 'expected the number of an event';
          return answerError({code: 'invalid', field: 'since', message});
        }
        const page = log.since(since, MAX_TIMELINE_EVENTS);
        return answerJson({dataCentre, incarnation, vm, ...page});
      },
      method: 'GET',
      path: '/v1/timeline',
    }),
    registerAdminRoute(api, {
      handler: async () => ({
        contentType: node.metrics.contentType,
        kind: 'text',
        status: 200,
        text: await node.metrics.metrics(),
      }),
      method: 'GET',
      path: '/metrics',
    }),
  );
}
