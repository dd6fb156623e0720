/** Formats the results of request runs as a table with the spread over seeds, or as rows for JSON. */

import type {WorkClass} from '@nutmegproxy/schema';

import type {ClassFigures} from './LoadFigures.ts';
import type {RunFigures} from './RequestRun.ts';

const CLASSES: readonly WorkClass[] = ['latency-critical', 'batch'];

/** Results of one work class in one run. */
export interface ReportRow extends ClassFigures {
  readonly arm: string;
  readonly class: WorkClass;
  readonly seed: number;
  readonly senderLateMs: number;
}

/** Returns one row for each run and work class. */
export function listRows(runs: readonly RunFigures[]): readonly ReportRow[] {
  return runs.flatMap(({arm, classes, seed, senderLateMs}) =>
    [...classes].map(([name, figures]) => ({arm, class: name, seed, senderLateMs, ...figures})),
  );
}

function median(sorted: readonly number[]): number {
  const middle = (sorted.length - 1) / 2;
  return ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2;
}

/** Formats the median with the lowest and highest value, such as `12 (10 to 15)`. */
export function formatSpread(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const [low = 0] = sorted;
  const high = sorted.at(-1) ?? 0;
  const text = median(sorted).toFixed(digits);
  return values.length < 2 ? text : `${text} (${low.toFixed(digits)} to ${high.toFixed(digits)})`;
}

interface Column {
  readonly digits: number;
  readonly read: (row: ReportRow) => number;
  readonly title: string;
}

const COLUMNS: readonly Column[] = [
  {digits: 0, read: ({p50Ms}) => p50Ms, title: 'p50 ms'},
  {digits: 0, read: ({p99Ms}) => p99Ms, title: 'p99 ms'},
  {digits: 0, read: ({p999Ms}) => p999Ms, title: 'p99.9 ms'},
  {digits: 2, read: ({onTimeShare}) => 100 * onTimeShare, title: 'on time %'},
  {digits: 0, read: ({notRun}) => notRun, title: 'not run'},
  {digits: 0, read: ({notRunLate}) => notRunLate, title: 'refused after 200 ms'},
  {digits: 0, read: ({notRunBare}) => notRunBare, title: 'no retry-after'},
  {digits: 1, read: ({refusalP50Ms}) => refusalP50Ms, title: 'refusal p50 ms'},
  {digits: 1, read: ({refusalP99Ms}) => refusalP99Ms, title: 'refusal p99 ms'},
  {digits: 0, read: ({unknown}) => unknown, title: 'unknown'},
  {digits: 0, read: ({unreachable}) => unreachable, title: 'unreachable'},
  {digits: 0, read: ({cancelled}) => cancelled, title: 'cancelled'},
  {digits: 0, read: ({sent}) => sent, title: 'sent'},
  {digits: 0, read: ({senderLateMs}) => senderLateMs, title: 'sender late ms'},
];

/** Formats a Markdown table with one line per policy and class; cells show the spread over seeds. */
export function formatTable(runs: readonly RunFigures[]): string {
  const rows = listRows(runs);
  const names = COLUMNS.map(({title}) => title);
  const lines = [
    `| policy | class | ${names.join(' | ')} |`,
    `| --- | --- | ${names.map(() => '---').join(' | ')} |`,
  ];
  for (const arm of new Set(rows.map((row) => row.arm))) {
    for (const name of CLASSES) {
      const group = rows.filter((row) => row.arm === arm && row.class === name);
      const cells = COLUMNS.map(({digits, read}) => formatSpread(group.map(read), digits));
      lines.push(...(group.length === 0 ? [] : [`| ${arm} | ${name} | ${cells.join(' | ')} |`]));
    }
  }
  return lines.join('\n');
}
