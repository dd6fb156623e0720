/** Numbered events, through which features report what they do. */

/** Severity of an event; also the level of its log line. */
export type EventLevel = 'debug' | 'error' | 'info' | 'warn';

/** A kind of event, declared once in a feature's `…Events.ts` file and listed in docs/EVENTS.md. */
export interface EventKind {
  /** Unique number; each package has its own range. */
  readonly code: number;
  /**
   * Whether the event comes in bulk, as once for each request, job or run. Its log lines are dropped
   * first. Default: false.
   */
  readonly isFrequent?: boolean;
  readonly level: EventLevel;
  /** Plain English for the person on call. */
  readonly text: string;
}

/** Values of an event. Never a secret or a caller's payload. */
export type EventFields = Readonly<Record<string, boolean | number | string | undefined>>;

/** Records events for the log, the ring buffer and the timeline. */
export interface EventSink {
  record(kind: EventKind, fields: EventFields): void;
}

/** Discards all events; for tests. */
export const SILENT_EVENTS: EventSink = {record: () => undefined};
