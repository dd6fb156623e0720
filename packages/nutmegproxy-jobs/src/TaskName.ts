/** Names of tasks in the protocol with minions, and of runs in the log. */

import type {JobId, TaskId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';

import type {RunNumber, TaskRef} from './JobModel.ts';

const TASK_NAME = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/;

/**
 * Returns the name of a task: job, occurrence, step and index.
 *
 * @example
 * formatTaskName({index: 17, job, occurrence: 0, step: 1}); // '5c0e7a21d94b36f8.0.1.17'
 */
export function formatTaskName({index, job, occurrence, step}: TaskRef): TaskId {
  return brand<TaskId>(`${job}.${occurrence}.${step}.${index}`);
}

/**
 * Returns the name of a run: its task and number.
 *
 * @example
 * formatRunName({index: 17, job, occurrence: 0, step: 1}, number); // '5c0e7a21d94b36f8.0.1.17/1001'
 */
export function formatRunName(task: TaskRef, number: RunNumber): string {
  return `${formatTaskName(task)}/${number}`;
}

/**
 * Returns the task that a name identifies; undefined when this scheduler did not create the name.
 *
 * @example
 * parseTaskName('5c0e7a21d94b36f8.0.1.17')?.step; // 1
 */
export function parseTaskName(name: string): TaskRef | undefined {
  const match = TASK_NAME.exec(name);
  if (match === null) {
    return undefined;
  }
  const [, job = '', occurrence, step, index] = match;
  return {
    index: Number(index),
    job: brand<JobId>(job),
    occurrence: Number(occurrence),
    step: Number(step),
  };
}
