/** Chooses the cell of a new job by what the owners of the cells publish. */

import type {WallTime} from '@nutmegproxy/core';

import type {CellIndex} from './CellKeys.ts';
import type {CellOutlook} from './CellRoom.ts';
import type {StoredJob} from './JobModel.ts';

import {findJobCell, hash, listCells} from './CellChoice.ts';
import {countHeldTasks} from './CellRoom.ts';

/** Age in milliseconds from which a number of waiting jobs is not used: its owner has ended or falls behind. */
export const MAX_OUTLOOK_AGE_MS = 6_000;
/** Waiting jobs that a cell must have fewer than the home has for its room: a place costs a key and reads. */
const MIN_GAIN_JOBS = 3;

/** The outlook of a cell with the number of its accepted jobs that have not begun. */
export interface CellForecast extends CellOutlook {
  readonly waitingJobs: number;
}

/**
 * Returns the cell of a new job, by the forecasts of all cells, which are undefined where none is known. Of the
 * cells that hold each of its steps, two are drawn by its id, the home before others, and the second is chosen if
 * clearly fewer jobs wait there. Where no cell holds a step, it is the one that holds the largest part.
 *
 * What was said of room is used whatever its age, and no job leaves its home for the age of a forecast: else the
 * few cells whose owners are well would take the jobs of all others, as in a series of takeovers.
 *
 * @example
 * chooseJobCell(job, [undefined, undefined], now); // findJobCell(job.id, 2)
 */
export function chooseJobCell(
  job: Pick<StoredJob, 'id' | 'service' | 'steps'>,
  forecasts: readonly (CellForecast | undefined)[],
  now: WallTime,
): CellIndex {
  const home = findJobCell(job.id, forecasts.length);
  const known = listCells(forecasts.length).flatMap((cell) => {
    const forecast = forecasts[cell];
    return forecast === undefined ? [] : [{cell, forecast, share: computeHeldShare(job, forecast)}];
  });
  const isHomeKnown = known.some(({cell}) => cell === home);
  const largestShare = Math.max(0, ...known.map(({share}) => share));
  const holding = known.filter(({share}) => share > 0 && share === largestShare);
  const first = holding.find(({cell}) => cell === home) ?? pick(holding, `${job.id}/first`);
  if (!isHomeKnown || first === undefined) {
    return home;
  }
  const others = holding.filter((each) => each !== first);
  const second = pick(others, `${job.id}/second`);
  return second !== undefined && hasShorterWait(second.forecast, first.forecast, now)
    ? second.cell
    : first.cell;
}

/** Whether clearly fewer jobs wait for the room of a cell than for that of another one, as far as is known. */
function hasShorterWait(cell: CellForecast, other: CellForecast, now: WallTime): boolean {
  const areFresh = [cell, other].every(
    ({writtenAt}) => Math.abs(now - writtenAt) <= MAX_OUTLOOK_AGE_MS,
  );
  const gain =
    other.waitingJobs * sumRoom(cell) - (cell.waitingJobs + MIN_GAIN_JOBS) * sumRoom(other);
  return areFresh && gain > 0;
}

/** Returns the part of the tasks of a job's widest step that a cell holds at once, from 0 to 1. */
function computeHeldShare(
  {service, steps}: Pick<StoredJob, 'service' | 'steps'>,
  outlook: CellOutlook,
): number {
  const shares = steps.map((shape) => countHeldTasks(outlook, shape, service) / shape.count);
  return Math.min(1, ...shares);
}

/** Returns one of the values by the hash of a text; undefined without any. */
function pick<Value>(values: readonly Value[], text: string): Value | undefined {
  return values[hash(text) % Math.max(1, values.length)];
}

/** Returns the processors of a cell that tasks with an end may use, in thousandths of a core. */
function sumRoom({groups}: CellOutlook): number {
  return groups.reduce((sum, {cpuMilli, minions}) => sum + cpuMilli * minions, 0);
}
