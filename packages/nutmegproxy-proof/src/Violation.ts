/** Invariants and the violations that history checks report. */

import type {History} from './History.ts';

/**
 * Names of the invariants. `accepted-change` and `accepted-job` require that nothing accepted is
 * lost, and `final-answer` that every caller gets a response.
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

/** Returns the violations of one invariant in a history; empty when it holds. */
export type HistoryCheck = (history: History) => readonly Violation[];
