/** Public API of the generated types and validators. */

export type {CatalogueApply, CatalogueCheck, TimelineQuery} from './generated/adminTypes.ts';
export {
  validateCatalogueApply,
  validateCatalogueCheck,
  validateTimelineQuery,
} from './generated/adminValidators.js';
export type {
  AppliedList,
  AppliedRevision,
  AppliedVm,
  Catalogue,
  CataloguePage,
  CatalogueQuery,
  CatalogueRecord,
  Drain,
  Entry,
  Limits,
  PlansPart,
  Quota,
  Stop,
  Team,
  TeamPart,
  WorkClass,
} from './generated/catalogueTypes.ts';
export {
  validateAppliedList,
  validateAppliedQuery,
  validateAppliedRevision,
  validateCatalogue,
  validateCataloguePage,
  validateCatalogueQuery,
  validateCatalogueRecord,
  validateDrain,
  validatePlansPart,
  validateStop,
  validateTeamPart,
} from './generated/catalogueValidators.js';
export type {EntrySettings} from './generated/entrySettingsTypes.ts';
export {validateEntrySettings} from './generated/entrySettingsValidators.js';
export type {RegisteredVm} from './generated/fleetRecordsTypes.ts';
export {validateFleetMinion, validateRegisteredVm} from './generated/fleetRecordsValidators.js';
export type {
  AllotmentRecord,
  CellOwnerRecord,
  CellRecord,
  MemberRecord,
  MinionRecord,
  ReclaimedShare,
  ShareRecord,
  TenureRecord,
} from './generated/membershipMessagesTypes.ts';
export {
  validateAllotmentRecord,
  validateCellOwnerRecord,
  validateDenyAnswer,
  validateDenyRequest,
  validateLoanAnswer,
  validateLoanRenewal,
  validateLoanRenewalAnswer,
  validateLoanRequest,
  validateLoanReturn,
  validateRecordNotice,
  validateRelayAnswer,
  validateRelayRequest,
  validateTenureRecord,
  validateVouchAnswer,
  validateVouchRequest,
} from './generated/membershipMessagesValidators.js';
export type {
  AnswerFrame,
  Greeting,
  HeartbeatFrame,
  KnownPeer,
  MessageFrame,
  PeerFrame,
  Proof,
} from './generated/peersMessagesTypes.ts';
export {
  validateGreeting,
  validatePeerFrame,
  validateProof,
} from './generated/peersMessagesValidators.js';
export type {
  EntrySummary,
  KnowledgeSummary,
  PairSummary,
  SeriesSummary,
} from './generated/placementMessagesTypes.ts';
export {validateKnowledgeSummary} from './generated/placementMessagesValidators.js';
export type {LeavingMark, LeavingNotice} from './generated/platformMessagesTypes.ts';
export {validateLeavingNotice} from './generated/platformMessagesValidators.js';
export type {
  AttemptReport,
  Resources,
  StartResult,
  TaskStart,
  Throttle,
  Usage,
  Vm,
  VmReport,
  WorkerReport,
  WorkerSync,
} from './generated/platformTypes.ts';
export {
  validateStartResults,
  validateTaskStart,
  validateTaskStarts,
  validateVmReport,
  validateWorkerReport,
  validateWorkerSync,
} from './generated/platformValidators.js';
export {validateOrderBatch, validateOutcomeBatch} from './generated/relayMessagesValidators.js';
export type {RequestKeyRecord} from './generated/requestsMessagesTypes.ts';
export {validateRequestKeyRecord} from './generated/requestsMessagesValidators.js';
export type {Fault, Scenario, Traffic} from './generated/scenarioTypes.ts';
export {validateScenario} from './generated/scenarioValidators.js';
export type {
  ListenAddresses,
  Policies,
  SecretReference,
  Settings,
  Timings,
} from './generated/settingsTypes.ts';
export {validateSettings} from './generated/settingsValidators.js';
export type {
  AttemptReturned,
  CellSnapshot,
  EvictionIntended,
  JobAccepted,
  JobCancelled,
  JobForgotten,
  JobLocation,
  JobRecord,
  SnapshotHeader,
  StartConfirmed,
  StartIntended,
  TaskChange,
  TaskDelta,
  TaskEnded,
  TaskOutcome,
  TaskRecord,
} from './generated/taskLogTypes.ts';
export {
  validateCellSnapshot,
  validateJobLocation,
  validateSnapshotHeader,
  validateTaskDelta,
} from './generated/taskLogValidators.js';
export type {
  CellSummaries,
  CellSummary,
  TaskJobAnswer,
  TaskJobQuery,
  TaskSubmit,
  TaskSubmitAnswer,
} from './generated/tasksMessagesTypes.ts';
export {
  validateCellSummaries,
  validateTaskJobAnswer,
  validateTaskJobQuery,
  validateTaskSubmit,
  validateTaskSubmitAnswer,
} from './generated/tasksMessagesValidators.js';
export type {JobStatus, JobSubmission, TaskStatus} from './generated/tasksTypes.ts';
export {validateJobStatus, validateJobSubmission} from './generated/tasksValidators.js';
export type {Validator, Violation} from './Validator.ts';
