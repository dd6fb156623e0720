/** Public surface of the owner of the fleet. */

export type {AdviceAnswer, AdviceClient, AdviceFailure} from './AdviceClient.ts';
export type {MinionChange, MinionDirectory, MinionSnapshot} from './MinionDirectory.ts';
export type {
  HoldOrder,
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  OrderFailureKind,
  OwnerToken,
  PaceOrder,
  RunOrder,
  StartOrder,
} from './MinionOrders.ts';
export {Owner} from './Owner.ts';
export type {OwnerOptions} from './Owner.ts';
export {OwnerCandidate} from './OwnerCandidate.ts';
export type {CandidateOptions} from './OwnerCandidate.ts';
export {OWNER_EVENTS} from './OwnerEvents.ts';
export {OWNER_KEY, Ownership} from './Ownership.ts';
export {Tenure} from './Tenure.ts';
export {WAITING_KEY} from './WaitingBoard.ts';
export type {WaitingRecord} from './WaitingBoard.ts';
