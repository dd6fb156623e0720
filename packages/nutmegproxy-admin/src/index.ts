/** Public API of the administration package. */

export {AdminApi, registerAdminRoute} from './AdminApi.ts';
export {createErrorResponse, createJsonResponse} from './AdminResponse.ts';
export type {AdminError, AdminErrorCode, AdminResponse} from './AdminResponse.ts';
export type {AdminHandler, AdminMethod, AdminRequest, AdminRoute} from './AdminRoute.ts';
export {registerCatalogueRoutes} from './CatalogueRoutes.ts';
export {registerStatusRoute} from './StatusRoute.ts';
export type {StatusSection} from './StatusRoute.ts';
export {registerTasksRoute} from './TasksRoute.ts';
export type {JobLister} from './TasksRoute.ts';
export {registerTimelineRoutes} from './TimelineRoutes.ts';
export type {ProcessTimeline, TimelineServices} from './TimelineRoutes.ts';
