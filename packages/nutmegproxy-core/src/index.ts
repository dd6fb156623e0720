/** Public API of the core package. */

export {after, ManualClock, SYSTEM_CLOCK} from './Clock.ts';
export type {Clock, Instant, WallTime} from './Clock.ts';
export {
  CommandBus,
  createCommand,
  PRIORITY_HIGH,
  PRIORITY_LOW,
  PRIORITY_NORMAL,
} from './CommandBus.ts';
export type {Command, CommandHandler, Priority} from './CommandBus.ts';
export {delay} from './Delay.ts';
export type {EntryNode, NodeIdentity} from './EntryNode.ts';
export {SILENT_EVENTS} from './EventSink.ts';
export type {EventFields, EventKind, EventLevel, EventSink} from './EventSink.ts';
export {brand} from './Ids.ts';
export type {
  AttemptId,
  Branded,
  CellId,
  ChangeId,
  DataCentreId,
  EntryId,
  IncarnationId,
  JobId,
  MinionId,
  RackId,
  RegionId,
  RequestId,
  TaskId,
  TeamId,
  VmId,
  WorkerId,
} from './Ids.ts';
export {BrokenInvariant, invariant} from './Invariant.ts';
export {DRAIN_STARTED} from './LifecycleCommands.ts';
export type {DrainStart} from './LifecycleCommands.ts';
export {DEFAULT_PLATFORM_BOUNDS} from './PlatformBounds.ts';
export type {PlatformBounds} from './PlatformBounds.ts';
export {findFirstIndex} from './SortedSearch.ts';
export {mergeUnregister} from './Unregister.ts';
export type {Unregister} from './Unregister.ts';
export {WorkQueue} from './WorkQueue.ts';
export type {WorkQueueOptions, WorkTurn} from './WorkQueue.ts';
