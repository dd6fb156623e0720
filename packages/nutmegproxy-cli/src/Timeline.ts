/** Merges the events of several processes into one timeline. */

import type {ProcessTimeline} from '@nutmegproxy/admin';
import type {RecordedEvent} from '@nutmegproxy/events';

const MICROSECONDS_PER_MS = 1_000;

/** An event and the process that recorded it. */
export interface TimelineEntry {
  readonly event: RecordedEvent;
  readonly incarnation: string;
  readonly vm: string;
}

/** An event in the Chrome trace event format. */
export interface TraceEvent {
  readonly args: Readonly<Record<string, unknown>>;
  readonly cat?: string;
  readonly name: string;
  readonly ph: 'i' | 'M';
  readonly pid: number;
  readonly s?: 'p';
  readonly tid: number;
  /** Microseconds since 1970. */
  readonly ts: number;
}

/**
 * Sorts the events of all processes by wall time, and those of one process by sequence number. The
 * VMs' clocks differ, so events of different VMs may be in the wrong order.
 *
 * @example
 * const entries = mergeTimelines([ofEntry1, ofEntry2]);
 */
export function mergeTimelines(timelines: readonly ProcessTimeline[]): readonly TimelineEntry[] {
  const newest = new Map(timelines.map((each) => [each.incarnation, each]));
  const entries = [...newest.values()].flatMap(({events, incarnation, vm}) =>
    events.map((event) => ({event, incarnation, vm})),
  );
  return entries.sort((a, b) =>
    a.incarnation === b.incarnation
      ? a.event.sequence - b.event.sequence
      : a.event.wall - b.event.wall,
  );
}

/** Formats an entry as one line of text. */
export function formatEntry({event, vm}: TimelineEntry): string {
  const fields = Object.entries(event.fields).map(([name, value]) => `${name}=${String(value)}`);
  const time = new Date(event.wall).toISOString();
  return `${time} ${vm} ${event.code} ${event.level} ${event.text} ${fields.join(' ')}`.trimEnd();
}

/**
 * Converts entries to Chrome trace events: one trace process per incarnation, one instant event per
 * entry.
 *
 * @example
 * writeFileSync(path, JSON.stringify({traceEvents: toTraceEvents(entries)}));
 */
export function toTraceEvents(entries: readonly TimelineEntry[]): readonly TraceEvent[] {
  const processes = [...new Set(entries.map(({incarnation}) => incarnation))];
  const names = new Map(entries.map(({incarnation, vm}) => [incarnation, vm]));
  const titles = processes.map<TraceEvent>((incarnation, index) => ({
    args: {name: `${names.get(incarnation) ?? ''} ${incarnation}`},
    name: 'process_name',
    ph: 'M',
    pid: index + 1,
    tid: 1,
    ts: 0,
  }));
  const events = entries.map<TraceEvent>(({event, incarnation}) => ({
    args: {...event.fields, code: event.code, sequence: event.sequence},
    cat: event.level,
    name: event.text,
    ph: 'i',
    pid: processes.indexOf(incarnation) + 1,
    s: 'p',
    tid: 1,
    ts: event.wall * MICROSECONDS_PER_MS,
  }));
  return [...titles, ...events];
}
