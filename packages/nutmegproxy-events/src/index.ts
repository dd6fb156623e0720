/** Public API of the event log. */

export {EventLog} from './EventLog.ts';
export type {EventLogOptions, LogDestination} from './EventLog.ts';
export {EventMetrics} from './EventMetrics.ts';
export type {EventMetricsOptions} from './EventMetrics.ts';
export {EventRing} from './EventRing.ts';
export type {EventPage, RecordedEvent} from './EventRing.ts';
export {redact} from './EventUtils.ts';
export {LogStream} from './LogStream.ts';
export type {LogStreamOptions} from './LogStream.ts';
