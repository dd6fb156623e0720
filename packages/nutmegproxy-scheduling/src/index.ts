/** Public exports of the scheduling package. */

export {AdviceCache} from './AdviceCache.ts';
export type {AdviceQuery, Ticket} from './AdviceCache.ts';
export {chooseAdviceQuery} from './AdviceQueries.ts';
export type {AdviceContext} from './AdviceQueries.ts';
export {
  computeProvenAge,
  CRASH_ATTRIBUTIONS,
  FRESH_RUN_MS,
  hasFailedInTime,
} from './CrashAttribution.ts';
export type {
  CrashAttribution,
  CrashCause,
  ExposedRun,
  FormerSuspect,
  FormerSuspects,
  MinionOutage,
} from './CrashAttribution.ts';
export {recordMinionCrash, recordReplacement, resolveLateSuspects} from './CrashRecorder.ts';
export {computeTrialMs, CRASH_VERDICTS} from './CrashVerdict.ts';
export type {TaskVerdict} from './CrashVerdict.ts';
export {DurationEstimator} from './DurationEstimator.ts';
export type {DurationSnapshot} from './DurationEstimator.ts';
export {evacuateMinion, findLeavesInMs} from './Evacuation.ts';
export {Fleet} from './Fleet.ts';
export {summarizeFleet} from './FleetSummary.ts';
export {classifyPunctuality, orderSteps} from './JobOrder.ts';
export type {OrderedStep, Punctuality} from './JobOrder.ts';
export {LeaseClock} from './LeaseClock.ts';
export {
  DEFAULT_LEASE_TIMES,
  deriveLeaseTimes,
  findUnkeptPromises,
  TAKEOVER_MS,
} from './LeaseTimes.ts';
export type {LeaseTimes, UnkeptPromise} from './LeaseTimes.ts';
export {dropSupersededRuns, findStep, reconcileListing} from './ListingReconciler.ts';
export type {MinionListing, RunReport, RunResult} from './ListingReconciler.ts';
export {findUnavailability, hasTrialRun} from './MinionAvailability.ts';
export type {Unavailability} from './MinionAvailability.ts';
export {checkMinion, isCallAddress} from './MinionCheck.ts';
export {describeDistrust, quarantineMinion, receiveDistrust} from './MinionQuarantine.ts';
export {MinionRanking} from './MinionRanking.ts';
export {classifyWork, MinionState} from './MinionState.ts';
export type {MachineId, MinionDescription, WorkKind} from './MinionState.ts';
export {MinionTrust, parseTrustSnapshot} from './MinionTrust.ts';
export type {TrustLevel, TrustSnapshot} from './MinionTrust.ts';
export {PendingTaskLog} from './PendingTaskLog.ts';
export type {PendingReview} from './PendingTaskLog.ts';
export {findRunCause, PendingTaskJudge} from './PendingTaskReason.ts';
export type {
  PendingCause,
  PendingContext,
  PendingReason,
  PendingTask,
} from './PendingTaskReason.ts';
export {computePlacementCost, isSchedulable, meetsConstraints} from './Placement.ts';
export type {SharingCosts} from './Placement.ts';
export type {PlanContext} from './PlanContext.ts';
export {PlanSweep} from './PlanSweep.ts';
export {DEFAULT_QUEUE_POLICY} from './QueuePolicy.ts';
export type {QueuePolicy} from './QueuePolicy.ts';
export {replaceQueues} from './QueueReplacement.ts';
export {collectReadySteps} from './ReadySteps.ts';
export {describeJobs, describeRun, findNamedJobs} from './RunFields.ts';
export {RunProgressMonitor} from './RunProgressMonitor.ts';
export {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
export {ServingLatencyLog} from './ServingLatencyLog.ts';
export {SharingPolicy} from './SharingPolicy.ts';
export {countDeferrable, isDeferrable} from './StartBudget.ts';
export type {AdviceLookup} from './StartPermissions.ts';
export {planStarts} from './StartPlanner.ts';
export type {StopReason, StopRequest} from './StopRequest.ts';
export {TailLatencyModel, toReferenceCores} from './TailLatencyModel.ts';
export type {InterferingTask, TailModelSnapshot} from './TailLatencyModel.ts';
export {SUSPICION_BOUND_MS} from './TrialPacing.ts';
export {UntrustedMinionLog} from './UntrustedMinionLog.ts';
export {hasUrgentWork} from './UrgentWork.ts';
export {WithheldTaskLog} from './WithheldTaskLog.ts';
export {WithheldTaskSummary} from './WithheldTaskSummary.ts';
export type {TaskWait, WithheldCause, WithheldReason} from './WithheldTaskSummary.ts';
