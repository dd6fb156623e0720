/** The history checks by invariant. */

import type {History} from './History.ts';
import type {HistoryCheck, InvariantName, Violation} from './Violation.ts';

import {checkAcceptedChange, checkAcceptedJob, checkFinalAnswer} from './AcceptanceChecks.ts';
import {checkCatalogue} from './CatalogueChecks.ts';
import {
  checkAtMostOnce,
  checkLeaving,
  checkNotRun,
  checkPlannedStop,
  checkWholeAnswer,
} from './RequestChecks.ts';
import {checkCapacity, checkOnePlace, checkResumeOnce} from './WorkChecks.ts';

export const CHECKS: Readonly<Record<InvariantName, HistoryCheck>> = {
  'accepted-change': checkAcceptedChange,
  'accepted-job': checkAcceptedJob,
  'at-most-once': checkAtMostOnce,
  capacity: checkCapacity,
  catalogue: checkCatalogue,
  'final-answer': checkFinalAnswer,
  leaving: checkLeaving,
  'not-run': checkNotRun,
  'one-place': checkOnePlace,
  'planned-stop': checkPlannedStop,
  'resume-once': checkResumeOnce,
  'whole-answer': checkWholeAnswer,
};

/**
 * Runs every check on a history.
 *
 * @example
 * const violations = checkHistory(recorder.close(true));
 */
export function checkHistory(history: History): readonly Violation[] {
  return Object.values(CHECKS).flatMap((check) => check(history));
}
