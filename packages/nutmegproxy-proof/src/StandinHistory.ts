/** Turns what stand-ins recorded into entries of a history. */

import type {AttemptInterval, MinionRequest} from '@nutmegproxy/standins';

import type {AttemptRun, MinionRun} from './History.ts';

/** Outcomes of requests that the minion ran, wholly or in part. */
const RAN: ReadonlySet<MinionRequest['outcome']> = new Set(['answered', 'cut', 'running']);

/** The runs at one minion, from its `GET /history`. */
export function readMinionRuns(
  minion: string,
  requests: readonly MinionRequest[],
): readonly MinionRun[] {
  return requests
    .filter(({outcome}) => RAN.has(outcome))
    .map(({endedAt, idempotencyKey, request, startedAt}) => ({
      minion,
      request,
      startedAt,
      ...(endedAt === undefined ? {} : {endedAt}),
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
    }));
}

/** The attempts at one worker, from its `GET /history`. */
export function readAttemptRuns(intervals: readonly AttemptInterval[]): readonly AttemptRun[] {
  return intervals.map(
    ({attempt, doneMs, endedAt, endState, reserved, resumedFromMs, startedAt, task, worker}) => ({
      attempt,
      reserved,
      resumedFromMs,
      startedAt,
      task,
      worker,
      ...(doneMs === undefined ? {} : {doneMs}),
      ...(endedAt === undefined ? {} : {endedAt}),
      ...(endState === undefined ? {} : {endState}),
    }),
  );
}
