/** Validates a submitted job before it is accepted. */

import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {JobRequest, Resources, StepShape} from './JobModel.ts';

/** Longest payload in characters, as the callers' protocol defines it. */
export const MAX_PAYLOAD_CHARACTERS = 4000;
/** Most steps of a job; bounds the work of one request and is far above what callers send. */
export const MAX_STEPS = 64;
/** Most tasks of a step; bounds the memory that one request can take. */
export const MAX_TASKS_PER_STEP = 10_000;
/** Most occurrences of a job; bounds the memory that one request can take. */
export const MAX_OCCURRENCES = 10_000;

/** The first invalid field of a job and the rule that it breaks. */
export interface JobValidationError {
  readonly field: string;
  readonly message: string;
}

function isIntegerBetween(value: number, min: number, max: number): boolean {
  return Number.isSafeInteger(value) && value >= min && value <= max;
}

function findResourceError(resources: Resources, field: string): JobValidationError | undefined {
  const invalid = Object.entries(resources).find(
    ([, amount]) => !isIntegerBetween(amount as number, 0, Number.MAX_SAFE_INTEGER),
  );
  return invalid === undefined
    ? undefined
    : {field: `${field}.${invalid[0]}`, message: 'must be a whole number of 0 or more'};
}

function findStepError(step: StepShape, number: number): JobValidationError | undefined {
  const field = `steps[${number}]`;
  if (!isIntegerBetween(step.count, 1, MAX_TASKS_PER_STEP)) {
    return {field: `${field}.count`, message: `must be from 1 to ${MAX_TASKS_PER_STEP}`};
  }
  if (step.after.some((earlier) => !isIntegerBetween(earlier, 0, number - 1))) {
    return {field: `${field}.after`, message: 'must name earlier steps'};
  }
  if (
    step.maxPerMinion !== undefined &&
    !isIntegerBetween(step.maxPerMinion, 1, MAX_TASKS_PER_STEP)
  ) {
    return {field: `${field}.maxPerMinion`, message: 'must be 1 or more'};
  }
  return findResourceError(step.resources, field);
}

function findError({payload, recurrence, steps}: JobRequest): JobValidationError | undefined {
  if (payload.length > MAX_PAYLOAD_CHARACTERS) {
    return {field: 'payload', message: `must have at most ${MAX_PAYLOAD_CHARACTERS} characters`};
  }
  if (!isIntegerBetween(steps.length, 1, MAX_STEPS)) {
    return {field: 'steps', message: `must be from 1 to ${MAX_STEPS}`};
  }
  if (recurrence !== undefined && !isIntegerBetween(recurrence.count, 1, MAX_OCCURRENCES)) {
    return {field: 'recurrence.count', message: `must be from 1 to ${MAX_OCCURRENCES}`};
  }
  if (
    recurrence !== undefined &&
    !isIntegerBetween(recurrence.intervalMs, 0, Number.MAX_SAFE_INTEGER)
  ) {
    return {field: 'recurrence.intervalMs', message: 'must be a whole number of 0 or more'};
  }
  for (const [number, step] of steps.entries()) {
    const error = findStepError(step, number);
    if (error !== undefined) {
      return error;
    }
  }
  return undefined;
}

/**
 * Returns the job when all its fields are within their limits, else the first field that is not.
 *
 * @example
 * validateJob({...job, steps: []}); // err({field: 'steps', message: 'must be from 1 to 64'})
 */
export function validateJob(job: JobRequest): Result<JobRequest, JobValidationError> {
  const error = findError(job);
  return error === undefined ? ok(job) : err(error);
}
