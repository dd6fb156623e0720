/** Public API of the entry VM. */

export {CallLog} from './CallLog.ts';
export type {CallOutcome, OpenCall} from './CallLog.ts';
export {CellCount} from './CellCount.ts';
export type {CellCountOptions} from './CellCount.ts';
export type {
  CallLimits,
  Configuration,
  ConfigurationSnapshot,
  ConfigurationSource,
  QueueRoute,
} from './Configuration.ts';
export {ConfigurationFollower} from './ConfigurationFollower.ts';
export {
  CALLS_LOG_INTERVAL_MS,
  CLOSING_MS,
  CONFIGURATION_PAUSE_MS,
  FORWARD_TIMEOUT_MS,
  KILL_MARGIN_MS,
  MAX_FORWARD_ATTEMPTS,
  MAX_SUCCESSOR_WAIT_MS,
  MIN_DRAIN_MS,
} from './EntryConstants.ts';
export {ENTRY_EVENTS} from './EntryEvents.ts';
export {JobApi} from './JobApi.ts';
export type {CallContext, JobApiOptions, Refusal} from './JobApi.ts';
export type {FleetDivision} from './JobLookup.ts';
export {PeerSelector} from './PeerSelector.ts';
export {handOver} from './PlannedHandover.ts';
export type {HandoverOptions} from './PlannedHandover.ts';
export {readQueueLengths} from './QueueLengthReader.ts';
export {chooseRetryAfter} from './RetryAfter.ts';
export {RouteTable} from './RouteTable.ts';
export {StoreHealth} from './StoreHealth.ts';
export {VmRegistry} from './VmRegistry.ts';
export type {EntryVm, VmRegistryOptions} from './VmRegistry.ts';
