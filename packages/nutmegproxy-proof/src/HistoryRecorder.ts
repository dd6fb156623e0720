/** Collects the entries of a history during a run. */

import type {History} from './History.ts';

import {EMPTY_HISTORY} from './History.ts';

type Lists = {
  -readonly [Name in Exclude<keyof History, 'settled'>]: History[Name][number][];
};

/** Maximum entries of one kind; a run with more fails, since the checks need a complete history. */
export const RECORDER_CAPACITY = 500_000;

/**
 * A recorder with one list per kind of entry.
 *
 * @example
 * const recorder = new HistoryRecorder();
 * recorder.add('departures', {at: Date.now(), minion: 'm1'});
 * const violations = checkHistory(recorder.close(true));
 */
export class HistoryRecorder {
  readonly #lists: Lists = {
    absences: [],
    accepted: [],
    attempts: [],
    blindTimes: [],
    cancelledTasks: [],
    departures: [],
    jobs: [],
    listedChanges: [],
    minionRuns: [],
    minions: [],
    requests: [],
    seen: [],
    stops: [],
    storeFaults: [],
    workers: [],
  };

  add<Name extends keyof Lists>(name: Name, ...entries: readonly History[Name][number][]): void {
    const list = this.#lists[name] as History[Name][number][];
    if (list.length + entries.length > RECORDER_CAPACITY) {
      throw new RangeError(`the history has too many entries of ${name}`);
    }
    list.push(...entries);
  }

  /** Returns a copy of the history; `settled` means that all work had time to complete. */
  close(settled: boolean): History {
    return structuredClone({...EMPTY_HISTORY, ...this.#lists, settled});
  }
}
