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
  await journal.flush();
  const silent = roster.find(minion.id)?.silent;
  if (silent === undefined) {
    return;
  }
  const over = listNames(ended);
  // The minion may have responded meanwhile, listed one of them after all, and fallen silent again.
  const possible = listNames([...minion.runs, ...minion.endedRuns]);
  const runs = silent.runs.filter(([name, number]) => {
    const task = parseTaskName(name);
    const run = task && formatRunName(task, number);
    return run === undefined || possible.has(run) || !over.has(run);
  });
  if (runs.length < silent.runs.length) {
    roster.replaceSilentRuns(minion.id, runs);
  }
}
