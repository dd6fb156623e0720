/** Checks of the catalogue over all entry VMs. */

import type {AcceptedRevision, History, SeenRevision} from './History.ts';
import type {HistoryCheck, Violation} from './Violation.ts';

import {extendDeadline, groupBy} from './CheckUtils.ts';

/** Time in which an accepted change must be in force on every VM that can hear of it. */
export const IN_FORCE_LIMIT_MS = 9_000;

function report(message: string): Violation {
  return {invariant: 'catalogue', message};
}

/** When a change must be in force on a VM; each absence that matters starts the time anew. */
function readDeadline(vm: string, acceptedAt: number, history: History): number {
  const absences = history.absences.filter((absence) => absence.vm === vm);
  return extendDeadline(acceptedAt, IN_FORCE_LIMIT_MS, absences);
}

/** Only a new process may show 0, as it knows no catalogue yet; nothing else may go back. */
function checkOrder(vm: string, seen: readonly SeenRevision[]): readonly Violation[] {
  const violations: Violation[] = [];
  const informed = new Set<string>();
  let highest = 0;
  for (const {process, revision} of [...seen].sort((a, b) => a.at - b.at)) {
    const isBlank = revision === 0 && !informed.has(process);
    if (revision < highest && !isBlank) {
      violations.push(report(`${vm} went back from revision ${highest} to ${revision}`));
    }
    highest = Math.max(highest, revision);
    if (revision > 0) {
      informed.add(process);
    }
  }
  return violations;
}

function checkInForce(
  vm: string,
  seen: readonly SeenRevision[],
  accepted: AcceptedRevision,
  history: History,
): readonly Violation[] {
  const deadline = readDeadline(vm, accepted.at, history);
  const returns = history.absences.filter((absence) => absence.vm === vm).map(({until}) => until);
  // A new process knows nothing at first, however long ago the change was accepted.
  const isBlank = ({at, revision}: SeenRevision): boolean =>
    revision === 0 && returns.some((until) => until <= at && at <= until + IN_FORCE_LIMIT_MS);
  return seen
    .filter(({at, revision}) => at > deadline && revision < accepted.revision)
    .filter((each) => !isBlank(each))
    .slice(0, 1)
    .map(({at, revision}) => {
      const lateMs = at - accepted.at;
      return report(`${vm} had ${revision} ${lateMs} ms after ${accepted.revision} was accepted`);
    });
}

/** One revision has one content, wherever it is seen. */
function checkContents(history: History): readonly Violation[] {
  const all = [...history.accepted, ...history.seen];
  return [...groupBy(all, ({revision}) => String(revision))].flatMap(([revision, entries]) => {
    const digests = new Set(entries.flatMap(({digest}) => digest ?? []));
    return digests.size > 1 ? [report(`revision ${revision} has ${digests.size} contents`)] : [];
  });
}

/** Each accepted change has a revision of its own. */
function checkAcceptedOnce(history: History): readonly Violation[] {
  return [...groupBy(history.accepted, ({revision}) => String(revision))].flatMap(
    ([revision, entries]) =>
      entries.length > 1 ? [report(`revision ${revision} was accepted twice`)] : [],
  );
}

/** An accepted change is in force everywhere in time and never reverts. */
export const checkCatalogue: HistoryCheck = (history) => {
  const perVm = [...groupBy(history.seen, ({vm}) => vm)].flatMap(([vm, seen]) => [
    ...checkOrder(vm, seen),
    ...history.accepted.flatMap((accepted) => checkInForce(vm, seen, accepted, history)),
  ]);
  return [...perVm, ...checkContents(history), ...checkAcceptedOnce(history)];
};
