/** Public surface of tasks. */

export {adaptRoute} from './CallerAdapter.ts';
export type {RouteExchange} from './CallerAdapter.ts';

export {parseOwnerRecord} from './CellRecovery.ts';
export type {OwnerParser, StoredOwner} from './CellRecovery.ts';
export type {CellServices} from './CellSupervisor.ts';
export {isWorkerOf} from './CellUtils.ts';
export {registerKnowledgeExchange} from './KnowledgeExchange.ts';
export {registerTasks} from './RegisterTasks.ts';
export type {Tasks, TasksServices} from './RegisterTasks.ts';
export type {RouteHandler, RouteRequest, RouteResponse} from './TaskRoutes.ts';
export type {WorkerTimings} from './WorkerLink.ts';
