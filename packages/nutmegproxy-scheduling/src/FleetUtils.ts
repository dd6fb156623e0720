/** Small functions of the owner's state of the fleet. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Run, RunNumber, StepState, TaskRef} from '@nutmegproxy/jobs';

/** Creates a run that its minion has not confirmed. */
export function createRun(
  step: StepState,
  task: TaskRef,
  number: RunNumber,
  minion: MinionId,
  now: Instant,
): Run {
  return {
    checkpoint: undefined,
    confirmedAt: undefined,
    knownFrom: 'order',
    minion,
    number,
    paceShare: 100,
    percent: 0,
    phase: 'starting',
    placedAt: now,
    plannedAt: now,
    reading: undefined,
    sentAt: now,
    step,
    task,
  };
}
