/** Public surface of tasks. */

export type {OwnerParser, StoredOwner} from './CellRecovery.ts';
export type {CellServices} from './CellSupervisor.ts';
export {cellOfWorker} from './CellUtils.ts';
export {registerTasks} from './RegisterTasks.ts';
export type {TasksServices} from './RegisterTasks.ts';
export type {RouteAnswer, RouteHandler, RouteRequest} from './TaskRoutes.ts';
export type {WorkerTimings} from './WorkerLink.ts';
