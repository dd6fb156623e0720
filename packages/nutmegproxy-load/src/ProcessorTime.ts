/** Reads how much processor time a process has used. */

import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Places of user and system time after the name of the program in /proc/<pid>/stat. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Seconds of processor time, user and system, of a running process. */
export function readProcessorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND;
}
