/** Selects the log lines of all processes that explain what happened to one request or job. */

import type {EventFields} from '@nutmegproxy/core';

import {ENTRY_EVENTS} from '@nutmegproxy/entry';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {findNamedJobs, SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';

/** One line of a log. */
export interface LogLine {
  readonly code: number;
  readonly fields: EventFields;
  readonly msg: string;
  /** Unix time in milliseconds, by the VM's clock. */
  readonly time: number;
  readonly vm: string;
}

/** Time before and after the request's or job's own lines in which other events are included. */
const CONTEXT_MARGIN_MS = {after: 5_000, before: 1_000};

/** Codes of events that affect all jobs. */
const SHARED_EVENT_CODES: ReadonlySet<number> = new Set([
  ENTRY_EVENTS.STORE_UNAVAILABLE.code,
  ENTRY_EVENTS.STORE_RECOVERED.code,
  OWNER_EVENTS.MINIONS_LISTED.code,
  OWNER_EVENTS.OWNERSHIP_LOST.code,
  OWNER_EVENTS.OWNERSHIP_ACQUIRED.code,
  OWNER_EVENTS.OWNERSHIP_UNCONFIRMED.code,
  OWNER_EVENTS.RECOVERY_DONE.code,
]);

/** Codes of minion events that affect the minion's runs. */
const MINION_EVENT_CODES: ReadonlySet<number> = new Set([
  OWNER_EVENTS.LEASE_EXPIRED.code,
  OWNER_EVENTS.MINION_CHANGED.code,
  OWNER_EVENTS.MINION_REACHED.code,
  OWNER_EVENTS.MINION_RESTARTED.code,
  OWNER_EVENTS.MINION_UNREACHABLE.code,
  OWNER_EVENTS.ORDER_FAILED.code,
  SCHEDULING_EVENTS.MINION_CRASHED.code,
  SCHEDULING_EVENTS.MINION_QUARANTINED.code,
  SCHEDULING_EVENTS.MINION_TRUSTED.code,
]);

/** Codes of events that name the jobs or runs that they concern. */
const NAMING_EVENT_CODES: ReadonlySet<number> = new Set([
  OWNER_EVENTS.JOBS_READ.code,
  SCHEDULING_EVENTS.CRASHED_RUNS.code,
  SCHEDULING_EVENTS.RUNS_ADOPTED.code,
  SCHEDULING_EVENTS.TASKS_PENDING.code,
]);

/** Matches the minion that a task waits for, at the end of its name in a line about pending tasks. */
const AWAITED_MINION = /\/on=(\S+)$/;

/**
 * Parses a log line; returns undefined if it is none. Text before the JSON, such as a prefix added
 * by a log collector, is skipped.
 *
 * @example
 * parseLogLine('{"time":1,"vm":"edge-1","code":8211,"fields":{},"msg":"A job was stored."}')?.code;
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    return line.code === undefined || line.fields === undefined ? undefined : (line as LogLine);
  } catch {
    // The line is truncated, for example because its process stopped while writing it.
    return undefined;
  }
}

function findJobIds(lines: readonly LogLine[], id: string): ReadonlySet<unknown> {
  const requestLines = lines.filter(({fields}) => fields.request === id);
  return new Set([id, ...requestLines.flatMap(({fields}) => fields.job ?? [])]);
}

/** Whether a line is about one of the jobs: by its id, or by the jobs or runs that it names. */
function concernsJob({code, fields}: LogLine, jobs: ReadonlySet<unknown>): boolean {
  return (
    jobs.has(fields.job) ||
    (NAMING_EVENT_CODES.has(code) && findNamedJobs(fields).some((job) => jobs.has(job)))
  );
}

/** Reduces a line about the pending tasks of all jobs to the tasks of the given ones. */
function selectPendingTasks(line: LogLine, jobs: ReadonlySet<unknown>): LogLine {
  const {code, fields} = line;
  if (code !== SCHEDULING_EVENTS.TASKS_PENDING.code) {
    return line;
  }
  const named = String(fields.named)
    .split(' ')
    .filter((name) => findNamedJobs({named: name}).some((job) => jobs.has(job)));
  const minion = named.flatMap((name) => AWAITED_MINION.exec(name)?.[1] ?? [])[0];
  return {...line, fields: {...(minion !== undefined && {minion}), named: named.join(' ')}};
}

/** Returns the lines about a request or job and the events that affected it, oldest first. */
export function selectRelevantLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
  const jobs = findJobIds(lines, id);
  const ownLines = lines
    .filter((line) => concernsJob(line, jobs) || line.fields.request === id)
    .map((line) => selectPendingTasks(line, jobs));
  if (ownLines.length === 0) {
    return [];
  }
  const times = ownLines.map(({time}) => time);
  const [first, last] = [
    Math.min(...times) - CONTEXT_MARGIN_MS.before,
    Math.max(...times) + CONTEXT_MARGIN_MS.after,
  ];
  const minions = new Set(ownLines.flatMap(({fields}) => fields.minion ?? []));
  const contextLines = lines.filter(
    ({code, fields, time}) =>
      time >= first &&
      time <= last &&
      (SHARED_EVENT_CODES.has(code) ||
        (MINION_EVENT_CODES.has(code) &&
          minions.has(fields.minion ?? '') &&
          !jobs.has(fields.job))),
  );
  return [...ownLines, ...contextLines].sort((a, b) => a.time - b.time);
}

/** Formats a line with the seconds elapsed since `startMs`. */
export function formatLogLine({code, fields, msg, time, vm}: LogLine, startMs: number): string {
  const elapsedSeconds = ((time - startMs) / 1000).toFixed(3).padStart(9);
  const details = Object.entries(fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
  return `${elapsedSeconds} s  ${vm}  ${code}  ${msg} ${details}`;
}

/**
 * Returns the formatted lines that explain a request or job; empty if no line contains its id.
 *
 * @example
 * explain(readFileSync('edge.log', 'utf8').split('\n'), '5c0e7a21d94b36f8').join('\n');
 */
export function explain(texts: readonly string[], id: string): readonly string[] {
  const lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  const relevant = selectRelevantLines(lines, id);
  const start = relevant[0]?.time ?? 0;
  return relevant.map((line) => formatLogLine(line, start));
}
