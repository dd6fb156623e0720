/** Views of a fleet for the tests of this package. */

import type {MinionTarget, OrderFailure} from '@nutmegproxy/owner';

import {errAsync} from 'neverthrow';

import type {EmulatedFleet} from '../../EmulatedFleet.ts';

const UNANSWERED: OrderFailure = {clockMs: undefined, kind: 'unanswered', message: 'injected'};

/** Returns a view of a fleet from which one minion can't be reached. */
export function cutOff(fleet: EmulatedFleet, id: MinionTarget['id']): EmulatedFleet {
  return new Proxy(fleet, {
    get: (target, name) => {
      const member = Reflect.get(target, name) as unknown;
      if (typeof member !== 'function') {
        return member;
      }
      const method = (member as (...args: unknown[]) => unknown).bind(target);
      return name === 'poll' || name === 'start' || name === 'stop'
        ? (to: MinionTarget, ...args: unknown[]) =>
            to.id === id ? errAsync(UNANSWERED) : method(to, ...args)
        : method;
    },
  });
}
