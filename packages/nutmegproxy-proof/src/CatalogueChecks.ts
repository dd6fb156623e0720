/** Checks of the catalogue across all entry VMs. */

import type {AcceptedRevision, History, ObservedRevision} from './History.ts';
import type {HistoryCheck, Violation} from './Violation.ts';

import {extendDeadline, groupBy} from './CheckUtils.ts';

/** Time within which an accepted change must be in force on every reachable VM. */
export const PROPAGATION_LIMIT_MS = 9_000;

function report(message: string): Violation {
  return {invariant: 'catalogue', message};
}

/** Returns when a change must be in force on a VM; outages extend the deadline. */
function computeDeadline(vm: string, acceptedAt: number, history: History): number {
  const absences = history.absences.filter((absence) => absence.vm === vm);
  return extendDeadline(acceptedAt, PROPAGATION_LIMIT_MS, absences);
}

/** Revisions never decrease, except that a new process shows 0 before it has a catalogue. */
function checkRevisionOrder(vm: string, seen: readonly ObservedRevision[]): readonly Violation[] {
  const violations: Violation[] = [];
  const initialized = new Set<string>();
  let highest = 0;
  for (const {process, revision} of [...seen].sort((a, b) => a.at - b.at)) {
    const isUninitialized = revision === 0 && !initialized.has(process);
    if (revision < highest && !isUninitialized) {
      violations.push(report(`${vm} went back from revision ${highest} to ${revision}`));
    }
    highest = Math.max(highest, revision);
    if (revision > 0) {
      initialized.add(process);
    }
  }
  return violations;
}

function checkPropagation(
  vm: string,
  seen: readonly ObservedRevision[],
  accepted: AcceptedRevision,
  history: History,
): readonly Violation[] {
  const deadline = computeDeadline(vm, accepted.at, history);
  const outageEnds = history.absences
    .filter((absence) => absence.vm === vm)
    .map(({until}) => until);
  // A new process starts without a catalogue, however long ago the change was accepted.
  const isUninitialized = ({at, revision}: ObservedRevision): boolean =>
    revision === 0 && outageEnds.some((until) => until <= at && at <= until + PROPAGATION_LIMIT_MS);
  return seen
    .filter(({at, revision}) => at > deadline && revision < accepted.revision)
    .filter((each) => !isUninitialized(each))
    .slice(0, 1)
    .map(({at, revision}) => {
      const lateMs = at - accepted.at;
      return report(`${vm} had ${revision} ${lateMs} ms after ${accepted.revision} was accepted`);
    });
}

/** A revision has the same content on every VM. */
function checkContents(history: History): readonly Violation[] {
  const all = [...history.accepted, ...history.seen];
  return [...groupBy(all, ({revision}) => String(revision))].flatMap(([revision, entries]) => {
    const digests = new Set(entries.flatMap(({digest}) => digest ?? []));
    return digests.size > 1 ? [report(`revision ${revision} has ${digests.size} contents`)] : [];
  });
}

/** Each accepted change has its own revision. */
function checkAcceptedOnce(history: History): readonly Violation[] {
  return [...groupBy(history.accepted, ({revision}) => String(revision))].flatMap(
    ([revision, entries]) =>
      entries.length > 1 ? [report(`revision ${revision} was accepted twice`)] : [],
  );
}

/** An accepted change is in force on every VM within the limit and is never reverted. */
export const checkCatalogue: HistoryCheck = (history) => {
  const perVm = [...groupBy(history.seen, ({vm}) => vm)].flatMap(([vm, seen]) => [
    ...checkRevisionOrder(vm, seen),
    ...history.accepted.flatMap((accepted) => checkPropagation(vm, seen, accepted, history)),
  ]);
  return [...perVm, ...checkContents(history), ...checkAcceptedOnce(history)];
};
