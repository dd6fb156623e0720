/** Public API of the admission package. */

export {DeadlineQueue} from './DeadlineQueue.ts';
export {FirstComeQueue} from './FirstComeQueue.ts';
export {MINION_CHOICES, updateEstimate} from './MinionChoice.ts';
export type {
  LatencyEstimate,
  MinionCandidate,
  MinionChoice,
  MinionChoicePolicy,
} from './MinionChoice.ts';
export {OutlierTracker} from './OutlierTracker.ts';
export {createRandom} from './Random.ts';
export type {Random} from './Random.ts';
export {REQUEST_QUEUES} from './RequestQueue.ts';
export type {
  QueueLimits,
  QueuePolicy,
  QueueRefusal,
  RequestQueue,
  WaitingRequest,
} from './RequestQueue.ts';
export {RetryBudget} from './RetryBudget.ts';
