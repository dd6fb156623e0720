/** Converts the records of stand-ins to history entries. */

import type {Resources} from '@nutmegproxy/schema';
import type {AttemptInterval, MinionRequest} from '@nutmegproxy/standins';

import type {AttemptRun, MinionRun} from './History.ts';

/** Outcomes of requests that the minion started to run. */
const RAN: ReadonlySet<MinionRequest['outcome']> = new Set(['answered', 'cut', 'running']);

/** Converts the response of `GET /history` at a minion. */
export function readMinionRuns(
  minion: string,
  requests: readonly MinionRequest[],
): readonly MinionRun[] {
  return requests
    .filter(({outcome}) => RAN.has(outcome))
    .map(({endedAt, idempotencyKey, request, startedAt, struck}) => ({
      minion,
      request,
      startedAt,
      ...(endedAt === undefined ? {} : {endedAt}),
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
      ...(struck === true ? {struck} : {}),
    }));
}

function computeMaximum(used: Resources, declared: Resources | undefined): Resources {
  return {
    accelerators: Math.max(used.accelerators, declared?.accelerators ?? 0),
    cpu: Math.max(used.cpu, declared?.cpu ?? 0),
    memoryMb: Math.max(used.memoryMb, declared?.memoryMb ?? 0),
  };
}

/** Converts the response of `GET /history` at a worker; `declared` holds resources by catalogue entry. */
export function readAttemptRuns(
  intervals: readonly AttemptInterval[],
  declared: ReadonlyMap<string, Resources>,
): readonly AttemptRun[] {
  return intervals.map(({entry, used, ...rest}) => ({
    ...rest,
    needed: computeMaximum(used, declared.get(entry)),
  }));
}
