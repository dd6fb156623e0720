/** Numbered events: the one way in which features tell what they do. */

/** How grave an event is; also the level of its log line. */
export type EventLevel = 'debug' | 'error' | 'info' | 'warn';

/** A kind of event, declared once in a feature's `…Events.ts` file and listed in docs/EVENTS.md. */
export interface EventKind {
  /** Unique number; each package has a range of its own. */
  readonly code: number;
  readonly level: EventLevel;
  /** Plain English for the person on call. */
  readonly text: string;
}

/** Values of an event. Never a secret or a caller's payload. */
export type EventFields = Readonly<Record<string, boolean | number | string | undefined>>;

/** Takes events for the log, the ring and the time line. */
export interface EventSink {
  record(kind: EventKind, fields: EventFields): void;
}

/** Drops all events; for tests. */
export const SILENT_EVENTS: EventSink = {record: () => undefined};
