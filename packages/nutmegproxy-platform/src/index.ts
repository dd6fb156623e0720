/** Public surface of the platform's VM list and workers. */

export {VMS_CHANGED} from './VmDirectory.ts';
export type {LeavingSource, VmDirectory} from './VmDirectory.ts';
export type {PlatformFailure, VmList} from './VmList.ts';
export type {StartAnswer, WorkerClient} from './WorkerClient.ts';
