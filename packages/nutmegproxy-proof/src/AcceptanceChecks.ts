/** Checks that nothing accepted is lost and that every caller gets a final response. */

import type {HistoryCheck, Violation} from './Violation.ts';

import {groupBy, overlapsOutage} from './CheckUtils.ts';

/** Every accepted change is in the catalogue history at its revision. */
export const checkAcceptedChange: HistoryCheck = ({accepted, listedChanges}) => {
  const listed = new Map(listedChanges.map(({change, revision}) => [change, revision]));
  return accepted.flatMap(({change, revision}): Violation[] => {
    const isKept = listed.size === 0 || change === undefined || listed.get(change) === revision;
    const message = `change ${change ?? ''}, accepted as revision ${revision}, is missing from the history`;
    return isKept ? [] : [{invariant: 'accepted-change', message}];
  });
};

/** Every accepted job ends, and one idempotency key creates one job. */
export const checkAcceptedJob: HistoryCheck = ({jobs, settled}) => {
  const perKey = [...groupBy(jobs, ({key}) => key)].flatMap(([key, accepted]): Violation[] => {
    const ids = new Set(accepted.map(({job}) => job));
    const message = `key ${key} created the jobs ${[...ids].join(', ')}`;
    return ids.size > 1 ? [{invariant: 'accepted-job', message}] : [];
  });
  const open = jobs
    .filter(({ended}) => settled && !ended)
    .map(({job}): Violation => ({invariant: 'accepted-job', message: `job ${job} never ended`}));
  return [...perKey, ...open];
};

/** A caller gets no final response only if its VM was partitioned, paused or not running. */
export const checkFinalAnswer: HistoryCheck = ({absences, requests}) =>
  requests
    .filter(({outcome}) => outcome === 'pending')
    .filter((request) => {
      const here = absences.filter(({vm}) => vm === request.vm);
      return !overlapsOutage(request, here);
    })
    .map(({request, vm}): Violation => {
      return {invariant: 'final-answer', message: `${request} got no final response from ${vm}`};
    });
