/** The route that lists jobs. */

import type {Unregister} from '@nutmegproxy/core';
import type {JobStatus} from '@nutmegproxy/schema';

import type {AdminApi} from './AdminApi.ts';

import {registerAdminRoute} from './AdminApi.ts';
import {MAX_LISTED_JOBS} from './AdminConstants.ts';
import {createJsonResponse} from './AdminResponse.ts';

/** Returns at most `limit` jobs of the cells that this process owns. */
export type JobLister = (limit: number) => readonly JobStatus[];

/**
 * Registers `GET /v1/tasks`.
 *
 * @example
 * registerTasksRoute(api, (limit) => tasks.listJobs(limit));
 */
export function registerTasksRoute(api: AdminApi, listJobs: JobLister): Unregister {
  return registerAdminRoute(api, {
    handler: () => createJsonResponse({jobs: listJobs(MAX_LISTED_JOBS)}),
    method: 'GET',
    path: '/v1/tasks',
  });
}
