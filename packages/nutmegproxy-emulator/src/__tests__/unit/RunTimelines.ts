/** The runs of each task on all minions, and what is wrong with them. */

import type {EmulatedMinion, RecordedRun} from '../../EmulatedMinion.ts';

interface NamedRun extends RecordedRun {
  readonly minion: string;
}

/**
 * Describes the runs of the tasks of which two were live at a time.
 *
 * @example
 * assert.deepEqual(findRunsBesideOthers(minions), []);
 */
export function findRunsBesideOthers(minions: readonly EmulatedMinion[]): string[] {
  return listTimelines(minions)
    .filter((runs) => runs.some(({startedAtMs}, index) => startedAtMs < findFormerEnd(runs, index)))
    .map(describeRuns);
}

/**
 * Describes the runs of the tasks that were without a run for longer than `limitMs` milliseconds after their first one,
 * until `nowMs`.
 *
 * @example
 * assert.deepEqual(findIdle(minions, 9_000, clock.monotonic()), []);
 */
export function findIdle(
  minions: readonly EmulatedMinion[],
  limitMs: number,
  nowMs: number,
): string[] {
  return listTimelines(minions)
    .filter((runs) =>
      [...runs.slice(1).map(({startedAtMs}) => startedAtMs), nowMs].some(
        (untilMs, index) => untilMs - findFormerEnd(runs, index + 1) > limitMs,
      ),
    )
    .map(describeRuns);
}

function describeRuns(runs: readonly NamedRun[]): string {
  const described = runs.map(({endedAtMs = Infinity, minion, number, startedAtMs}) => {
    const fromMs = Math.round(startedAtMs);
    return `${number} on ${minion} from ${fromMs} to ${Math.round(endedAtMs)}`;
  });
  return `${runs[0]?.task ?? ''}: ${described.join(', ')}`;
}

/** Returns when the last of the first `count` runs had ended. */
function findFormerEnd(runs: readonly NamedRun[], count: number): number {
  const ends = runs.slice(0, count).map(({endedAtMs = Infinity}) => endedAtMs);
  return Math.max(-Infinity, ...ends);
}

/** Lists the runs of each task by their begin. */
function listTimelines(minions: readonly EmulatedMinion[]): NamedRun[][] {
  const runsByTask = new Map<string, NamedRun[]>();
  for (const {description, records} of minions) {
    for (const run of records) {
      const runs = runsByTask.get(run.task) ?? [];
      runs.push({...run, minion: description.id});
      runsByTask.set(run.task, runs);
    }
  }
  return [...runsByTask.values()].map((runs) => runs.sort((a, b) => a.startedAtMs - b.startedAtMs));
}
