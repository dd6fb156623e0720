/** Public surface of placement. */

export type {
  AttemptOutcome,
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementWish,
  ThrottleWish,
  WorkerProfile,
} from './Placement.ts';
