/** Input and checkpoints of tasks on the worker stand-in. */

/** Input of a task as JSON; every field has a default. */
export interface WorkInput {
  /** CPU cores that the task actually uses. */
  readonly cpu: number;
  /** Whether the task fails after half of its work. */
  readonly fail: boolean;
  readonly memoryMb: number;
  /** Share of speed that other tasks on the worker lose to this task, 0 to 1. */
  readonly noise: number;
  /** Overrides of `noise` by catalogue entry of the other task. */
  readonly noiseTo: Readonly<Record<string, number>>;
  /** Run time at full speed, in ms. */
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

/** Parses an input; returns the defaults when it is not valid JSON. */
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

/** Returns the work completed at a checkpoint, in ms. */
export function readCheckpoint(checkpoint: string | undefined): number {
  const doneMs = Number(checkpoint?.replace(CHECKPOINT_PREFIX, '') ?? 0);
  return Number.isFinite(doneMs) ? doneMs : 0;
}
