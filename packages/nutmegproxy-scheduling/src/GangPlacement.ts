/** Finds minions for the tasks of a gang, which start together or not at all. */

import type {Instant} from '@nutmegproxy/core';
import type {Run, RunNumber, StepState} from '@nutmegproxy/jobs';

import type {MinionRanking} from './MinionRanking.ts';
import type {MinionState} from './MinionState.ts';

import {createRun} from './FleetUtils.ts';

/** Number of a run that only reserves room; the numbers of started runs are from 1. */
const RESERVATION_NUMBER = 0 as RunNumber;

export interface GangSearch {
  /** Returns a minion for one task by the ranking; undefined when none has room. */
  readonly choose: (index: number) => MinionState | undefined;
  readonly now: Instant;
  readonly ranking: MinionRanking;
}

interface Reservation {
  readonly minion: MinionState;
  readonly run: Run;
}

function reserve(step: StepState, index: number, minion: MinionState, now: Instant): Reservation {
  const task = {index, job: step.job.id, occurrence: step.occurrence, step: step.number};
  const run = createRun(step, task, RESERVATION_NUMBER, minion.id, now);
  step.addRun(run);
  minion.addRun(run);
  return {minion, run};
}

function release({minion, run}: Reservation): void {
  run.step.removeRun(run);
  minion.removeRun(run);
}

/**
 * Returns a minion for each waiting task of a gang, by task index; undefined when one task finds none.
 * Room is reserved while the minions are chosen and released afterwards, so that a gang that does not
 * fit uses no run numbers and still counts as waiting.
 *
 * @example
 * const choose = () => ranking.choose(() => true);
 * const minions = findGangMinions(step, {choose, now, ranking});
 */
export function findGangMinions(
  step: StepState,
  {choose, now, ranking}: GangSearch,
): ReadonlyMap<number, MinionState> | undefined {
  const indexes = [...step.waiting];
  const reservations: Reservation[] = [];
  for (const index of indexes) {
    const minion = choose(index);
    if (minion === undefined) {
      break;
    }
    reservations.push(reserve(step, index, minion, now));
    ranking.refresh(minion);
  }
  for (const reservation of reservations) {
    release(reservation);
  }
  return reservations.length === indexes.length
    ? new Map(reservations.map(({minion, run}) => [run.task.index, minion]))
    : undefined;
}
