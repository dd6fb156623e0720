/** Public API of the placement package. */

export {EntryKnowledge} from './EntryKnowledge.ts';
export {LANE_ORDERS} from './LaneOrders.ts';
export type {LaneOrderName} from './LaneOrders.ts';
export type {
  AttemptObservation,
  AttemptOutcome,
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementRequest,
  Throttle,
  WorkerProfile,
} from './Placement.ts';
export {decideRound} from './PlacementRound.ts';
export type {PlacementRound, RoundDecision} from './PlacementRound.ts';
export {PLACEMENTS} from './Placements.ts';
export type {PlacementFactory, PlacementName} from './Placements.ts';
export {TaskQueue} from './TaskQueue.ts';
export type {Lane, LaneOrder, WaitingTask} from './TaskQueue.ts';
