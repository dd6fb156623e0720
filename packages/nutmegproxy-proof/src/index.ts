/** Public API of the fault-injection tests. */

export {checkHistory, CHECKS} from './Checks.ts';
export {EMPTY_HISTORY} from './History.ts';
export type {
  AcceptedRevision,
  AttemptRun,
  AttemptState,
  CallerOutcome,
  CallerRequest,
  Departure,
  History,
  MinionRun,
  MinionSize,
  ObservedRevision,
  Outage,
  PlannedStop,
  WorkerSize,
} from './History.ts';
export {HistoryRecorder} from './HistoryRecorder.ts';
export {ManagedProcess} from './ManagedProcess.ts';
export type {ProcessExit, ProcessOptions} from './ManagedProcess.ts';
export {ProcessGroup} from './ProcessGroup.ts';
export {readAttemptRuns, readMinionRuns} from './StandinHistory.ts';
export type {HistoryCheck, InvariantName, Violation} from './Violation.ts';
