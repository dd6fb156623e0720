/** Public API of the jobs. */

export {findJobCell, findMinionCell, listCells} from './CellChoice.ts';
export {
  CELLS_PREFIX,
  FIRST_CELL,
  formatFleetPrefix,
  formatOwnerKey,
  formatProgressPrefix,
  formatRecordKey,
  MAX_CELLS,
  PROGRESS_PREFIX,
  STATE_PREFIX,
} from './CellKeys.ts';
export type {CellIndex, CellRecord} from './CellKeys.ts';
export {decodePlace, encodePlace, formatPlaceKey} from './CellPlaces.ts';
export type {PlaceRecord} from './CellPlaces.ts';
export {countHeldTasks} from './CellRoom.ts';
export type {CellOutlook, RoomGroup} from './CellRoom.ts';
export {chooseJobCell, MAX_OUTLOOK_AGE_MS} from './CellRouting.ts';
export type {CellForecast} from './CellRouting.ts';
export type {
  AdvicePolicy,
  Checkpoint,
  JobRequest,
  JobStatus,
  QueueId,
  Recurrence,
  Resources,
  RunNumber,
  RunOutcome,
  ServiceId,
  StepShape,
  StoredJob,
  StoredQueuePolicy,
  TaskRef,
} from './JobModel.ts';
export {isFinal} from './JobProgress.ts';
export type {JobProgress, StepProgress} from './JobProgress.ts';
export {
  decodeJob,
  decodeProgress,
  encodeRecord,
  formatJobKey,
  formatJobPrefix,
  parseJobKey,
} from './JobRecords.ts';
export type {JobKey, JobPart} from './JobRecords.ts';
export {JobState} from './JobState.ts';
export {MAX_PAYLOAD_CHARACTERS, validateJob} from './JobValidation.ts';
export type {JobValidationError} from './JobValidation.ts';
export type {Run, RunPhase, RunSource} from './Run.ts';
export {StepCrashes} from './StepCrashes.ts';
export type {
  CrashEvidence,
  MachineEvidence,
  StepCrashProgress,
  TaskCrash,
  TaskTrial,
} from './StepCrashes.ts';
export {AVOIDANCE_MS, StepState} from './StepState.ts';
export {formatRunName, formatTaskName, parseTaskName} from './TaskName.ts';
