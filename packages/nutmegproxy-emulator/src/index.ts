/** Public API of the emulator. */

export {EmulatedFleet} from './EmulatedFleet.ts';
export type {OrderFaults} from './EmulatedFleet.ts';
export {EmulatedMachineList} from './EmulatedMachineList.ts';
export {EmulatedMinion} from './EmulatedMinion.ts';
export type {RecordedRun, TaskBehaviour} from './EmulatedMinion.ts';
export {FleetSimulation} from './FleetSimulation.ts';
export type {FleetSimulationOptions, JobHistory, SimulationResult} from './FleetSimulation.ts';
export type {MinionBounds} from './MinionBounds.ts';
export {reportQueues} from './SimulationReport.ts';
export type {QueueReport} from './SimulationReport.ts';
export {drawJobs} from './Workload.ts';
export type {JobClass, SimulatedJob, Spread, WorkloadOptions} from './Workload.ts';
