/** The route that returns the state of one process. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';

import type {AdminApi} from './AdminApi.ts';

import {registerAdminRoute} from './AdminApi.ts';
import {createJsonResponse} from './AdminResponse.ts';

/** Returns one section of the status; it is sent as JSON. */
export type StatusSection = () => unknown;

/**
 * Registers `GET /v1/status`; each section becomes a field of the response.
 *
 * @example
 * registerStatusRoute(api, node, {catalogue: () => ({revision: source.current().revision})});
 */
export function registerStatusRoute(
  api: AdminApi,
  node: EntryNode,
  sections: Readonly<Record<string, StatusSection>>,
): Unregister {
  return registerAdminRoute(api, {
    handler: () => {
      const parts = Object.entries(sections).map(([name, read]) => [name, read()] as const);
      return createJsonResponse({...node.identity, ...Object.fromEntries(parts)});
    },
    method: 'GET',
    path: '/v1/status',
  });
}
