/** Public surface of the decisions. */

export {describeRun, Fleet} from './Fleet.ts';
export type {StopOrder, StopReason} from './Fleet.ts';
export {summarizeFleet} from './FleetSummary.ts';
export {HoldClock} from './HoldClock.ts';
export {judgePunctuality, orderSteps} from './JobOrder.ts';
export type {OrderedStep, Punctuality} from './JobOrder.ts';
export {reviewListing} from './ListingReview.ts';
export type {EndReport, MinionListing, RunReport} from './ListingReview.ts';
export {MinionState, workKind} from './MinionState.ts';
export type {MachineId, MinionDescription, WorkKind} from './MinionState.ts';
export {MinionTrust} from './MinionTrust.ts';
export type {TrustLevel} from './MinionTrust.ts';
export {chooseMinion, isPermitted, isUsable} from './Placement.ts';
export type {PlacementView} from './Placement.ts';
export {RETIRED_QUEUE} from './QueuePolicy.ts';
export type {AdvicePolicy, QueuePolicy} from './QueuePolicy.ts';
export {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
export {SharingPolicy} from './SharingPolicy.ts';
export {collectReadySteps, planStarts} from './StartPlanner.ts';
export type {AdviceView, PlanContext} from './StartPlanner.ts';
export {referenceCores, TailModel} from './TailModel.ts';
export type {Disturber, TailKnowledge} from './TailModel.ts';
export {WorkEstimate} from './WorkEstimate.ts';
export type {DurationKnowledge} from './WorkEstimate.ts';
