/** Public API of the VM directory and of the clients of the VM list and the workers. */

export {HttpVmList} from './HttpVmList.ts';
export {HttpWorkerClient} from './HttpWorkerClient.ts';
export {DepartureTracker} from './VmDepartures.ts';
export type {VmDepartures} from './VmDepartures.ts';
export {VMS_CHANGED} from './VmDirectory.ts';
export type {LeavingSource, VmDirectory} from './VmDirectory.ts';
export {registerVmDirectory} from './VmDirectoryFeature.ts';
export type {VmDirectoryRegistration, VmDirectoryServices} from './VmDirectoryFeature.ts';
export type {PlatformFailure, VmList} from './VmList.ts';
export type {StartOutcome, WorkerClient} from './WorkerClient.ts';
