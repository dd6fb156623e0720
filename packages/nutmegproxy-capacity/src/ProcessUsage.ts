/** Reads the resource usage of a process from /proc. */

import {readFileSync} from 'node:fs';

/** Processor time since the start of the process, and its current resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

const MS_PER_TICK = 10;
const PAGE_BYTES = 4_096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Parses the contents of a process's `stat` and `statm` files. */
export function parseUsage(stat: string, statm: string): ProcessUsage {
  // The program name is in parentheses and may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: Number(statm.split(' ')[1]) * PAGE_BYTES,
  };
}

/** Reads the usage of a process of the current user. */
export function readUsage(pid: number): ProcessUsage {
  const read = (name: string): string => readFileSync(`/proc/${pid}/${name}`, 'utf8');
  return parseUsage(read('stat'), read('statm'));
}
