/** What the kernel says a process has used. */

import {readFileSync} from 'node:fs';

/** Totals since the start of the process, but for the resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

const MS_PER_TICK = 10;
const PAGE_BYTES = 4_096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Reads the kernel's texts `stat` and `statm` of one process. */
export function parseUsage(stat: string, statm: string): ProcessUsage {
  // The program's name stands in parentheses and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: Number(statm.split(' ')[1]) * PAGE_BYTES,
  };
}

/** Reads what a process of this user has used. */
export function readUsage(pid: number): ProcessUsage {
  const read = (name: string): string => readFileSync(`/proc/${pid}/${name}`, 'utf8');
  return parseUsage(read('stat'), read('statm'));
}
