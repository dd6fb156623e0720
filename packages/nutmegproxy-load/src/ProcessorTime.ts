/** Reads the processor time of a process from /proc. */

import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Indexes of user and system time among the fields after the program name in /proc/<pid>/stat. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Returns the user and system processor time of a running process, in seconds. */
export function readProcessorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND;
}
