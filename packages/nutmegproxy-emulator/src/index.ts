/** Public API of the emulator. */

export {EmulatedFleet} from './EmulatedFleet.ts';
export type {OrderFaults} from './EmulatedFleet.ts';
export {EmulatedMinion} from './EmulatedMinion.ts';
export type {RecordedRun, TaskBehaviour} from './EmulatedMinion.ts';
