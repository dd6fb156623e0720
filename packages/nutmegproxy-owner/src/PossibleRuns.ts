/**
 * Combines lists of the runs that a minion may have of former owners. Each list names at least those that it has and
 * those that may have failed, which only the minion can tell, and no owner starts others there before it has recorded
 * that it uses the minion: a run that one list omits is over, and its result is known.
 */

import type {Fleet, MinionState} from '@nutmegproxy/scheduling';

import type {RecordedRuns} from './SilentRecords.ts';

import {formatRecordedName, nameRun} from './SilentRecords.ts';

type RunNames = RecordedRuns['runs'];

/**
 * Returns the runs that both lists name; a list that is undefined allows any runs.
 *
 * @example
 * intersectRuns([['job.0.0.0', 1]], []); // []
 */
export function intersectRuns(runs: RunNames, others: RunNames | undefined): RunNames {
  if (others === undefined) {
    return runs;
  }
  const names = new Set(others.map(formatRecordedName));
  return runs.filter((run) => names.has(formatRecordedName(run)));
}

/** Removes the runs that only a record names, unless a later account names them too; their tasks can start again. */
export function dropEndedRuns(fleet: Fleet, minion: MinionState, possible: RunNames): void {
  const names = new Set(possible.map(formatRecordedName));
  const ended = [...minion.runs].filter(
    (run) => run.knownFrom === 'record' && !names.has(formatRecordedName(nameRun(run))),
  );
  for (const run of ended) {
    fleet.recordLostRun(run, 'over by the closing record');
  }
}
