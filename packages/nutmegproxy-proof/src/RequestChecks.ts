/** Checks of the responses to callers and the requests that minions run. */

import type {CallerRequest, Departure, History, MinionRun} from './History.ts';
import type {HistoryCheck, Violation} from './Violation.ts';

import {extendDeadline, getEnd, groupBy, overlapsOutage} from './CheckUtils.ts';

/** Time within which every entry VM must know that a minion is leaving. */
export const LEAVING_GRACE_MS = 5_000;

/** Each caller gets the complete response to its own request. */
export const checkWholeAnswer: HistoryCheck = (history) =>
  history.requests.flatMap(({answer, expectedAnswer, outcome, request}): Violation[] => {
    const wrong = outcome === 'answered' && expectedAnswer !== undefined;
    const message = `request ${request} got an incomplete response or the response to another request`;
    return wrong && answer !== expectedAnswer ? [{invariant: 'whole-answer', message}] : [];
  });

/** A request reported as not run did not run. */
export const checkNotRun: HistoryCheck = (history) => {
  const runs = groupBy(history.minionRuns, ({request}) => request);
  return history.requests.flatMap(({outcome, request}): Violation[] => {
    const run = runs.get(request)?.[0];
    const message = `request ${request} was reported as not run, but ran at ${run?.minion ?? ''}`;
    return outcome === 'not-run' && run !== undefined ? [{invariant: 'not-run', message}] : [];
  });
};

function reportRepeats(
  what: string,
  groups: ReadonlyMap<string, readonly MinionRun[]>,
): readonly Violation[] {
  return [...groups].flatMap(([id, runs]): Violation[] => {
    const places = runs.map(({minion}) => minion).join(', ');
    const message = `${what} ${id} ran ${runs.length} times: ${places}`;
    return runs.length > 1 ? [{invariant: 'at-most-once', message}] : [];
  });
}

/** A non-idempotent request runs at most once, by its id and by its idempotency key. */
export const checkAtMostOnce: HistoryCheck = (history) => {
  const idempotent = new Set(
    history.requests.filter((each) => each.idempotent).map(({request}) => request),
  );
  const runs = history.minionRuns.filter(({request}) => !idempotent.has(request));
  return [
    ...reportRepeats(
      'request',
      groupBy(runs, ({request}) => request),
    ),
    ...reportRepeats(
      'idempotency key',
      groupBy(runs, ({idempotencyKey}) => idempotencyKey),
    ),
  ];
};

function checkDeparture(
  {at, minion}: Departure,
  vms: ReadonlyMap<string, string>,
  history: History,
): readonly Violation[] {
  return history.minionRuns
    .filter((run) => run.minion === minion && run.startedAt > at + LEAVING_GRACE_MS)
    .filter(({request, startedAt}) => {
      const blind = history.blindTimes.filter(({vm}) => vm === vms.get(request));
      return startedAt > extendDeadline(at, LEAVING_GRACE_MS, blind);
    })
    .map(({request, startedAt}): Violation => {
      const message = `minion ${minion} got ${request} ${startedAt - at} ms after it was announced as leaving`;
      return {invariant: 'leaving', message};
    });
}

/**
 * A leaving minion gets no new request after the grace period; for a VM that could not read the VM
 * list, the grace period starts when it can read it again.
 */
export const checkLeaving: HistoryCheck = (history) => {
  const vms = new Map(history.requests.map(({request, vm}) => [request, vm]));
  return history.departures.flatMap((departure) => checkDeparture(departure, vms, history));
};

function wasInterrupted({outcome}: CallerRequest): boolean {
  return outcome === 'cut' || outcome === 'outcome-unknown';
}

/**
 * Whether something other than the stop explains the outcome: the minion withheld or truncated the
 * response, the VM was paused or killed, or a store fault left the state of an idempotency key unknown.
 */
function isExplained(
  request: CallerRequest,
  faulted: ReadonlySet<string>,
  history: History,
): boolean {
  const here = ({vm}: {readonly vm: string}): boolean => vm === request.vm;
  const keyed = request.idempotencyKey !== undefined && request.outcome === 'outcome-unknown';
  return (
    faulted.has(request.request) ||
    overlapsOutage(request, history.absences.filter(here)) ||
    (keyed && overlapsOutage(request, history.storeFaults.filter(here)))
  );
}

/** A planned stop interrupts no request that its VM had accepted. */
export const checkPlannedStop: HistoryCheck = (history) => {
  const runs = history.minionRuns.filter((run) => run.struck === true);
  const faulted = new Set(runs.map(({request}) => request));
  return history.stops.flatMap((stop) =>
    history.requests
      .filter((request) => request.vm === stop.vm && wasInterrupted(request))
      .filter((request) => request.startedAt <= getEnd(stop) && getEnd(request) >= stop.startedAt)
      .filter((request) => !isExplained(request, faulted, history))
      .map(({outcome, request}): Violation => {
        const message = `the planned stop of ${stop.vm} left ${request} with the outcome ${outcome}`;
        return {invariant: 'planned-stop', message};
      }),
  );
};
