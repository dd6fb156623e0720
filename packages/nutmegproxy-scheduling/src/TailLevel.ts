/** Compares the tail latencies that a minion has reported with their targets. */

import type {Run} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';

/** Share of its target at which a tail latency triggers evictions; reports are 0.5 s old. */
const EVICTION_THRESHOLD_SHARE = 0.95;

/** How the highest tail latency of a report compares with its target. */
export type TailLevel = 'below' | 'near' | 'over';

/** Whether the last report of a serving run shows its tail latency at its target or over it. */
export function isOverTarget({reading = 0, step}: Run): boolean {
  const {tailTargetMs = Infinity} = step.shape;
  return reading >= tailTargetMs;
}

/**
 * Returns the serving run whose tail latency exceeds the eviction threshold the most; undefined
 * when none does.
 */
export function findMostAffectedRun(minion: MinionState): Run | undefined {
  let affected: Run | undefined;
  let worst = EVICTION_THRESHOLD_SHARE;
  for (const run of minion.runs) {
    const target = run.step.shape.tailTargetMs;
    const share = target === undefined ? 0 : (run.reading ?? 0) / target;
    if (share > worst) {
      affected = run;
      worst = share;
    }
  }
  return affected;
}

/** Returns the level of the most affected run of a minion; undefined stands for none. */
export function findTailLevel(affected: Run | undefined): TailLevel {
  if (affected === undefined) {
    return 'below';
  }
  return isOverTarget(affected) ? 'over' : 'near';
}
