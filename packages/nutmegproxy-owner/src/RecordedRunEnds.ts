/**
 * Tells the next owner which runs of a silent minion are over. A run that the minion's record names holds its
 * task until the minion's lease has expired.
 */

import type {Run} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import type {Journal} from './Journal.ts';
import type {Roster} from './Roster.ts';

import {formatRecordedName, nameRun} from './SilentRecords.ts';

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
  const over = new Set(ended.map(nameRun).map(formatRecordedName));
  const runs = silent.runs.filter((run) => !over.has(formatRecordedName(run)));
  if (runs.length < silent.runs.length) {
    roster.replaceSilentRuns(id, runs);
  }
}
