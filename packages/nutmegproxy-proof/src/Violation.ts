/** What the checkers report. */

import type {History} from './History.ts';

/**
 * Names of the checkers: one per line of the brief's list of what must always hold, and the three
 * that say that nothing accepted is lost and nobody is left without an answer.
 */
export type InvariantName =
  | 'accepted-change'
  | 'accepted-job'
  | 'at-most-once'
  | 'capacity'
  | 'catalogue'
  | 'final-answer'
  | 'leaving'
  | 'not-run'
  | 'one-place'
  | 'planned-stop'
  | 'resume-once'
  | 'whole-answer';

export interface Violation {
  readonly invariant: InvariantName;
  readonly message: string;
}

/** Returns every violation that a history shows; none means that the invariant held in it. */
export type HistoryCheck = (history: History) => readonly Violation[];
