/** Public API of the command line program, for tests and the demo to run within their process. */

export {AdminClient} from './AdminClient.ts';
export type {Command} from './CommandContext.ts';
export {COMMANDS} from './Commands.ts';
export {EntryProcess, startEntryProcess} from './EntryProcess.ts';
export type {EntrySecrets, ServingPorts, StartFailure, StopReason} from './EntryProcess.ts';
export {formatEntry, mergeTimelines, toTraceEvents} from './Timeline.ts';
export type {TimelineEntry, TraceEvent} from './Timeline.ts';
