/** Public surface of the platform's VM list and workers. */

export type {PlatformFailure, VmList} from './VmList.ts';
export type {StartAnswer, WorkerClient} from './WorkerClient.ts';
