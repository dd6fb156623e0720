/** Public API of the owner of the fleet. */

export type {AdviceAnswer, AdviceClient, AdviceFailure} from './AdviceClient.ts';
export {CellCandidates} from './CellCandidates.ts';
export type {CellCandidatesOptions} from './CellCandidates.ts';
export {CellDirectory} from './CellDirectory.ts';
export type {CellDirectoryOptions} from './CellDirectory.ts';
export {SHORTEST_DRAIN_MS} from './DirectoryAge.ts';
export {FleetOwnership} from './FleetOwnership.ts';
export type {MachineList, MachineOccupants} from './MachineList.ts';
export type {
  MinionChange,
  MinionDirectory,
  MinionSnapshot,
  MinionWatch,
} from './MinionDirectory.ts';
export type {
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  OrderFailureKind,
  OwnershipToken,
  PaceOrder,
  PollOrder,
  RunOrder,
  StartOrder,
} from './MinionOrders.ts';
export {Owner} from './Owner.ts';
export type {OwnerOptions} from './Owner.ts';
export {OwnerCandidate} from './OwnerCandidate.ts';
export type {CandidateOptions} from './OwnerCandidate.ts';
export {OWNER_KEY, OwnerElection} from './OwnerElection.ts';
export {OWNER_EVENTS} from './OwnerEvents.ts';
export {OwnerLoad} from './OwnerLoad.ts';
export {chooseCellCount, chooseTakeoverDelayMs} from './OwnerPreference.ts';
export {QUEUE_LENGTHS_KEY} from './QueueLengthPublisher.ts';
export type {QueueLengths} from './QueueLengthPublisher.ts';
export {RevisionLog} from './RevisionLog.ts';
export {RoundLog} from './RoundLog.ts';
export type {Round, RoundHold, RoundLogOptions} from './RoundLog.ts';
export {StartLimiter} from './StartLimiter.ts';
export {StartThrottle} from './StartThrottle.ts';
export {CELL_COUNT_KEY, decodeCellCount, UNDIVIDED} from './StoredCellCount.ts';
export type {CellCountRecord, KnownCellCount} from './StoredCellCount.ts';
export {parseJson} from './StoredJson.ts';
