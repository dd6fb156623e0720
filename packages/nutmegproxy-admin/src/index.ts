/** Public surface of the administration API. */

export {answerError, answerJson} from './AdminAnswer.ts';
export type {AdminAnswer, AdminError, AdminErrorCode} from './AdminAnswer.ts';
export {AdminApi, registerAdminRoute} from './AdminApi.ts';
export type {AdminHandler, AdminMethod, AdminRequest, AdminRoute} from './AdminRoute.ts';
export {registerTimelineRoutes} from './TimelineRoutes.ts';
