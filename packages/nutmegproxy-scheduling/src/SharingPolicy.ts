/**
 * Filling work beside serving work. Filling tasks disturb serving ones by amounts that differ
 * between images. Minions with serving tasks, and a reserve for the next ones, are kept free of
 * filling tasks; where both meet all the same and a tail passes its bound, a filling task moves off.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Share of the fleet kept free for serving tasks that are yet to come. */
const RESERVE_SHARE = 0.05;
/** Share of its bound at which a tail is acted upon; reports are half a second old. */
const TAIL_ALERT_SHARE = 0.9;
/** Time between two moves on one minion in milliseconds; a tail shows the effect after one look. */
const MOVE_PAUSE_MS = 700;

function worstTailShare(minion: MinionState): number {
  let worst = 0;
  for (const {reading, step} of minion.runs) {
    const target = step.shape.tailTargetMs;
    if (target !== undefined && target > 0 && reading !== undefined) {
      worst = Math.max(worst, reading / target);
    }
  }
  return worst;
}

export class SharingPolicy {
  readonly #lastMove = new Map<MinionState, Instant>();
  #reserved: ReadonlySet<MinionState> = new Set();

  /** Whether the minion is kept for serving tasks. */
  readonly isReserved = (minion: MinionState): boolean => this.#reserved.has(minion);

  /** Whether a filling task may start on the minion. */
  readonly mayFill = (minion: MinionState): boolean =>
    minion.servingRuns === 0 && !this.#reserved.has(minion);

  /** Chooses anew which minions without serving tasks are kept for them. */
  refreshReserve(usable: readonly MinionState[]): void {
    const wanted = Math.ceil(usable.length * RESERVE_SHARE);
    const free = usable
      .filter(({servingRuns}) => servingRuns === 0)
      .sort(
        (a, b) =>
          Number(this.#reserved.has(b)) - Number(this.#reserved.has(a)) ||
          a.fillingCpuMilli - b.fillingCpuMilli,
      );
    this.#reserved = new Set(free.slice(0, wanted));
  }

  /** Orders filling runs off minions whose serving tasks are near or over their bounds. */
  moveDisturbers(fleet: Fleet, now: Instant): void {
    for (const minion of fleet.minions.values()) {
      const isPaused = now - (this.#lastMove.get(minion) ?? -Infinity) < MOVE_PAUSE_MS;
      if (minion.servingRuns === 0 || isPaused || worstTailShare(minion) < TAIL_ALERT_SHARE) {
        continue;
      }
      const disturber = findDisturber(minion);
      if (disturber !== undefined) {
        this.#lastMove.set(minion, now);
        fleet.stopRun(disturber, 'interference');
      }
    }
  }
}

/** The filling run with the largest use of processors that is not close to its end. */
function findDisturber(minion: MinionState): Run | undefined {
  let largest: Run | undefined;
  for (const run of minion.runs) {
    const isMovable = run.step.shape.fillsSpareCpu && run.phase === 'running';
    if (isMovable && (run.reading ?? 0) >= (largest?.reading ?? 0)) {
      largest = run;
    }
  }
  return largest;
}
