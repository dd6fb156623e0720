/** Parses the options that name the policies to compare. */

import type {Policies} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {PolicyArm} from './RequestRun.ts';

interface PolicyAxis {
  readonly field: 'minionChoice' | 'requestQueue';
  readonly names: readonly string[];
}

const AXES: Readonly<Record<string, PolicyAxis>> = {
  choice: {field: 'minionChoice', names: ['least-loaded', 'power-of-two', 'round-robin']},
  queue: {field: 'requestQueue', names: ['deadline', 'first-come']},
};

function extendArms(arms: readonly PolicyArm[], axis: PolicyAxis, names: readonly string[]) {
  return arms.flatMap((arm) =>
    names.map((name): PolicyArm => {
      const policies: Policies = {...arm.policies, [axis.field]: name};
      return {name: arm.name === '' ? name : `${arm.name} ${name}`, policies};
    }),
  );
}

/**
 * Parses options such as `queue=first-come,deadline`. Several options yield every combination of
 * their values. Returns an error message for an unknown policy.
 *
 * @example
 * const arms = readArms(['queue=first-come,deadline', 'choice=round-robin']);
 */
export function readArms(options: readonly string[]): Result<readonly PolicyArm[], string> {
  let arms: readonly PolicyArm[] = [{name: '', policies: {}}];
  for (const option of options) {
    const [key = '', list = ''] = option.split('=');
    const axis = AXES[key];
    const names = list.split(',');
    if (axis === undefined || !names.every((name) => axis.names.includes(name))) {
      return err(`unknown policy: ${option}`);
    }
    arms = extendArms(arms, axis, names);
  }
  return ok(arms.map((arm) => ({...arm, name: arm.name === '' ? 'default' : arm.name})));
}
