/** Shapes of the steps that benchmarks draw. */

import type {StepShape} from '@nutmegproxy/jobs';

/**
 * Returns the shape of an ordinary step with one task, with the given changes.
 *
 * @example
 * createShape({count: 8, fillsSpareCpu: true});
 */
export function createShape(change: Partial<StepShape>): StepShape {
  return {
    after: [],
    checkpoints: false,
    count: 1,
    disruptionBudget: undefined,
    estimateMs: 1_500,
    fillsSpareCpu: false,
    gang: false,
    image: undefined,
    longRunning: false,
    maxPerMinion: undefined,
    preferredRack: undefined,
    rackLocal: false,
    requiredLabel: undefined,
    resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 500},
    speculative: false,
    tailTargetMs: undefined,
    ...change,
  };
}
