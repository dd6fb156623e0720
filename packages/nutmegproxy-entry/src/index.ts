/** Public surface of an entry VM. */

export type {
  CallLimits,
  Configuration,
  ConfigurationSnapshot,
  ConfigurationSource,
  QueueRoute,
} from './Configuration.ts';
export {ConfigurationFollower} from './ConfigurationFollower.ts';
export {
  DRAIN_QUIET_MS,
  FORWARD_TIMEOUT_MS,
  FORWARD_TRIES,
  KILL_MARGIN_MS,
} from './EntryConstants.ts';
export {ENTRY_EVENTS} from './EntryEvents.ts';
export {JobDesk} from './JobDesk.ts';
export type {CallContext, JobDeskOptions, Refusal} from './JobDesk.ts';
export {PeerChoice} from './PeerChoice.ts';
export {chooseRetryAfter} from './RetryAfter.ts';
export {RouteTable} from './RouteTable.ts';
export {StoreHealth} from './StoreHealth.ts';
export {VmRegistry} from './VmRegistry.ts';
export type {EntryVm, VmRegistryOptions} from './VmRegistry.ts';
