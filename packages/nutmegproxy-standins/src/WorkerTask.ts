/** What a task of the stand-in worker does, as its input says. */

/** Input of a task as JSON; everything but the work has a default. */
export interface WorkInput {
  /** Processors that the task really uses. */
  readonly cpu: number;
  /** Fails half way. */
  readonly fail: boolean;
  readonly memoryMb: number;
  /** Share of their speed that other tasks on the worker lose to this one, 0 to 1. */
  readonly noise: number;
  /** Noise to tasks of certain entries, in place of `noise`. */
  readonly noiseTo: Readonly<Record<string, number>>;
  /** Run time when the task has what it uses. */
  readonly workMs: number;
}

const DEFAULT_WORK: WorkInput = {
  cpu: 1,
  fail: false,
  memoryMb: 100,
  noise: 0,
  noiseTo: {},
  workMs: 100,
};
const CHECKPOINT_PREFIX = 'done-ms:';

/** Reads an input; one that isn't JSON gets the defaults. */
export function readWorkInput(input: string | undefined): WorkInput {
  try {
    const parsed = JSON.parse(input ?? '{}') as Partial<WorkInput>;
    return {...DEFAULT_WORK, ...parsed};
  } catch {
    return DEFAULT_WORK;
  }
}

export function writeCheckpoint(doneMs: number): string {
  return `${CHECKPOINT_PREFIX}${doneMs}`;
}

/** Work that was done before a checkpoint. */
export function readCheckpoint(checkpoint: string | undefined): number {
  const doneMs = Number(checkpoint?.replace(CHECKPOINT_PREFIX, '') ?? 0);
  return Number.isFinite(doneMs) ? doneMs : 0;
}
