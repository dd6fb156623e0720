/** Routes that return events and metrics of the processes. */

import type {EntryNode, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {EventLog, EventPage} from '@nutmegproxy/events';
import type {PeerMesh} from '@nutmegproxy/peers';

import {mergeUnregister} from '@nutmegproxy/core';
import {validateTimelineQuery} from '@nutmegproxy/schema';

import type {AdminApi} from './AdminApi.ts';
import type {AdminResponse} from './AdminResponse.ts';
import type {AdminRequest} from './AdminRoute.ts';

import {registerAdminRoute} from './AdminApi.ts';
import {MAX_PEER_TIMELINE_EVENTS, MAX_TIMELINE_EVENTS, PEER_TIMEOUT_MS} from './AdminConstants.ts';
import {createErrorResponse, createJsonResponse} from './AdminResponse.ts';

const TIMELINE_MESSAGE_TYPE = 'admin.timeline';

export interface TimelineServices {
  readonly log: EventLog;
  readonly mesh: PeerMesh;
}

/** The events of one process. */
export interface ProcessTimeline extends EventPage {
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly vm: string;
}

/** Reads the newest `limit` events. */
function readNewest(log: EventLog, limit: number): EventPage {
  return log.readAfter(Math.max(0, log.newestSequence - limit), limit);
}

function createProcessTimeline(
  {dataCentre, incarnation, vm}: NodeIdentity,
  page: EventPage,
): ProcessTimeline {
  return {dataCentre, incarnation, vm, ...page};
}

async function queryPeers(
  mesh: PeerMesh,
): Promise<Pick<TimelineResponse, 'processes' | 'unheard'>> {
  const message = {body: {limit: MAX_PEER_TIMELINE_EVENTS}, type: TIMELINE_MESSAGE_TYPE};
  const peers = mesh.peers().map(({identity}) => identity);
  const responses = await Promise.all(
    peers.map(({incarnation, vm}) => mesh.request(vm, incarnation, message, PEER_TIMEOUT_MS)),
  );
  const unheard = peers.filter((_, index) => responses[index]?.isErr()).map(({vm}) => vm);
  // Not validated: peers are authenticated, run the same program, and the JSON is only forwarded.
  const processes = responses
    .filter((response) => response.isOk())
    .map((response) => response.value as ProcessTimeline);
  return {processes, unheard};
}

interface TimelineResponse {
  readonly processes: readonly ProcessTimeline[];
  /** Linked VMs that did not respond. */
  readonly unheard: readonly string[];
}

async function handleTimeline(
  {query}: AdminRequest,
  node: EntryNode,
  {log, mesh}: TimelineServices,
): Promise<AdminResponse> {
  if (query.get('scope') === 'all') {
    const own = createProcessTimeline(node.identity, readNewest(log, MAX_TIMELINE_EVENTS));
    const {processes, unheard} = await queryPeers(mesh);
    return createJsonResponse({processes: [own, ...processes], unheard});
  }
  const since = Number(query.get('since') ?? 0);
  if (!Number.isSafeInteger(since) || since < 0) {
    const message = 'expected an event sequence number';
    return createErrorResponse({code: 'invalid', field: 'since', message});
  }
  const own = createProcessTimeline(node.identity, log.readAfter(since, MAX_TIMELINE_EVENTS));
  return createJsonResponse({processes: [own], unheard: []});
}

/**
 * Registers `GET /metrics` and `GET /v1/timeline`, which returns this process's events after
 * `?since=`, or with `?scope=all` the newest events of this process and its linked peers.
 *
 * @example
 * const unregister = registerTimelineRoutes(api, node, {log, mesh});
 */
export function registerTimelineRoutes(
  api: AdminApi,
  node: EntryNode,
  services: TimelineServices,
): Unregister {
  return mergeUnregister(
    services.mesh.registerHandler(TIMELINE_MESSAGE_TYPE, (body) =>
      validateTimelineQuery(body)
        ? createProcessTimeline(node.identity, readNewest(services.log, body.limit))
        : undefined,
    ),
    registerAdminRoute(api, {
      handler: (request) => handleTimeline(request, node, services),
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
