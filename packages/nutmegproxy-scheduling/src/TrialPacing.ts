/** Decides how many suspected tasks are on trial at once, so that all of them start within a bound. */

/**
 * Longest time in milliseconds from the last crash under a task, or from when an owner first considers
 * it, to its start, while a minion has room for it.
 */
export const SUSPICION_BOUND_MS = 10_000;
/** The part of it after which a suspect starts on any minion that can run it; the rest is for planning. */
export const MAX_TRIAL_DELAY_MS = 8_000;
/**
 * Time in milliseconds from the last crash after which a deadly task starts again: one that does not start sees no crash
 * that could speak for it.
 */
export const DEADLY_HOLD_MS = 300_000;
/** Time in milliseconds from the end of a trial to the start of the next one on its minion. */
const TRIAL_GAP_MS = 250;
/** Largest share of the minions that are reserved for trials, and the least number of trials. */
const MAX_TRIAL_SHARE = 0.15;
const MIN_TRIALS = 2;
/** The same while not all suspects would start in time otherwise. */
const MAX_URGENT_TRIAL_SHARE = 0.5;

/** A suspected task that waits. */
export interface TrialCandidate {
  /** Time in milliseconds until it starts on any minion; negative once it does. */
  readonly remainingMs: number;
  /** Length of its trial in milliseconds. */
  readonly trialMs: number;
}

export interface TrialPace {
  /** Most suspects that start on a minion at once. */
  readonly groupSize: number;
  /** Most minions that are reserved for trials. */
  readonly minions: number;
}

/**
 * Returns how many suspects have to be on trial at once so that the last of them starts in time.
 *
 * @example
 * countNeededTrials([{remainingMs: 8_000, trialMs: 3_750}, {remainingMs: 8_000, trialMs: 3_750}]); // 1
 */
export function countNeededTrials(candidates: readonly TrialCandidate[]): number {
  let leastMs = MAX_TRIAL_DELAY_MS;
  let totalMs = 0;
  for (const {remainingMs, trialMs} of candidates) {
    leastMs = Math.min(leastMs, remainingMs);
    totalMs += trialMs + TRIAL_GAP_MS;
  }
  const leftMs = Math.max(0, leastMs);
  const rounds =
    candidates.length === 0 ? 1 : 1 + Math.floor((leftMs * candidates.length) / totalMs);
  return Math.ceil(candidates.length / rounds);
}

/**
 * Returns how many minions are reserved for trials, and how many suspects share one. Restrained tasks whose pause is
 * over need trials beside those of other suspects.
 *
 * @example
 * computeTrialPace({restrained: [], suspects}, fleet.minions.size); // {groupSize: 1, minions: 7}
 */
export function computeTrialPace(
  {restrained, suspects}: Readonly<Record<'restrained' | 'suspects', readonly TrialCandidate[]>>,
  minions: number,
): TrialPace {
  const needed = countNeededTrials(suspects) + countNeededTrials(restrained);
  const usual = Math.max(MIN_TRIALS, Math.floor(minions * MAX_TRIAL_SHARE));
  const urgent = Math.min(needed, Math.floor(minions * MAX_URGENT_TRIAL_SHARE));
  const reserved = Math.max(usual, urgent);
  return {groupSize: Math.max(1, Math.ceil(needed / reserved)), minions: reserved};
}
