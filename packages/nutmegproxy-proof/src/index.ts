/** Public surface of the proofs. */

export {checkHistory, CHECKS} from './Checks.ts';
export {EMPTY_HISTORY} from './History.ts';
export type {
  Absence,
  AcceptedRevision,
  AttemptEnd,
  AttemptRun,
  CallerOutcome,
  CallerRequest,
  Departure,
  History,
  MinionRun,
  MinionSize,
  PlannedStop,
  SeenRevision,
  WorkerSize,
} from './History.ts';
export {HistoryRecorder} from './HistoryRecorder.ts';
export {ManagedProcess} from './ManagedProcess.ts';
export type {ProcessEnd, ProcessPlan} from './ManagedProcess.ts';
export {ProcessGroup} from './ProcessGroup.ts';
export {readAttemptRuns, readMinionRuns} from './StandinHistory.ts';
export type {HistoryCheck, InvariantName, Violation} from './Violation.ts';
