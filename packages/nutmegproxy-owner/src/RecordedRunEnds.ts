/**
 * Tells the next owner which runs of a silent minion are over. A run that the minion's record names holds its
 * task until the minion's lease has expired.
 */

import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {formatRunName, parseTaskName} from '@nutmegproxy/jobs';

import type {Journal} from './Journal.ts';
import type {Roster} from './Roster.ts';

/** Returns the names of runs as in the log. */
function listNames(
  runs: Iterable<{readonly number: RunNumber; readonly task: TaskRef}>,
): ReadonlySet<string> {
  return new Set([...runs].map(({number, task}) => formatRunName(task, number)));
}

/**
 * Removes runs that are over from the record of a silent minion. The record stays as it is while the store does
 * not take progress: a crash of the minion counts against its suspects before their tasks start again.
 *
 * @example
 * void recordRunEnds(roster, journal, minion, lostRuns);
 */
export async function recordRunEnds(
  roster: Roster,
  journal: Pick<Journal, 'flush'>,
  minion: MinionState,
  ended: readonly Run[],
): Promise<void> {
  if (ended.length === 0) {
    return;
  }
  const {id} = minion;
  const former = roster.find(id)?.silent;
  await journal.flush();
  const silent = roster.find(id)?.silent;
  // A record that was made meanwhile names what the minion has listed since.
  if (silent === undefined || silent !== former) {
    return;
  }
  const over = listNames(ended);
  const runs = silent.runs.filter(([name, number]) => {
    const task = parseTaskName(name);
    const run = task && formatRunName(task, number);
    return run === undefined || !over.has(run);
  });
  if (runs.length < silent.runs.length) {
    roster.replaceSilentRuns(id, runs);
  }
}
