/** Public surface of placement. */

export type {
  AttemptObservation,
  AttemptOutcome,
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementWish,
  ThrottleWish,
  WorkerProfile,
} from './Placement.ts';
export {PLACEMENTS} from './Placements.ts';
export type {PlacementMaker, PlacementName} from './Placements.ts';
