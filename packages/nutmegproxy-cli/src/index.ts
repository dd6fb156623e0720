/** Public surface of the command: what tests and the demo start in their own process. */

export {AdminClient} from './AdminClient.ts';
export type {Command} from './CommandContext.ts';
export {COMMANDS} from './Commands.ts';
export {EntryProcess, startEntryProcess} from './EntryProcess.ts';
export type {EntrySecrets, ServingPorts, StartFailure, StopReason} from './EntryProcess.ts';
export {formatEntry, mergeTimelines, toTraceEvents} from './Timeline.ts';
export type {TimelineEntry, TraceEvent} from './Timeline.ts';
