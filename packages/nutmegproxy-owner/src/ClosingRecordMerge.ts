/** Combines the closing records of consecutive owners into one. */

import type {MinionId} from '@nutmegproxy/core';

import type {ClosingRecord, MinionAccount} from './ClosingRecords.ts';

import {intersectRuns} from './PossibleRuns.ts';

/** Maximum number of runs in a record, so that it fits into a value of the store. */
const MAX_RECORDED_RUNS = 20_000;

/**
 * Returns the record to store in place of the present one; undefined when that has to stay. Records
 * of consecutive owners are combined: an owner may end before it has reached all minions, and its
 * record may be stored before or after that of its predecessor.
 */
export function combineRecords(
  own: ClosingRecord,
  present: ClosingRecord | undefined,
): ClosingRecord | undefined {
  const termsAhead = (present?.term ?? -Infinity) - own.term;
  if (present === undefined) {
    return limitRuns(own);
  }
  if (termsAhead < 0) {
    // An owner that has not read its minions has used none.
    const isOutdated = own.accounts?.length === 0 && termsAhead < -1;
    return isOutdated ? undefined : limitRuns(addFormer(own, present));
  }
  return termsAhead === 1 && lacksRuns(present, own)
    ? limitRuns(addFormer(present, own))
    : undefined;
}

/** Whether the former owner knew the runs of a minion that the owner of the record has not reached. */
function lacksRuns({accounts}: ClosingRecord, former: ClosingRecord): boolean {
  const unreached = new Set(accounts?.filter(isUnreached).map(({id}) => id));
  const isLacking = ({id, runs}: MinionAccount): boolean =>
    runs !== undefined && (accounts?.length === 0 || unreached.has(id));
  return former.accounts?.some(isLacking) ?? false;
}

/**
 * Whether the owner never had a response from the minion, so that it gave it no lease and no run. It
 * may know the runs from a former owner's record.
 */
function isUnreached({lastTerm, mayBeRenewed = false, runs}: MinionAccount): boolean {
  return !mayBeRenewed && (runs === undefined || lastTerm !== undefined);
}

/**
 * Adds what the owner before knew of minions that the owner of the record has not reached: of all,
 * when its ownership ended before it had read which minions there are.
 */
function addFormer(own: ClosingRecord, former: ClosingRecord): ClosingRecord {
  if (own.accounts?.length === 0) {
    return {...former, term: own.term};
  }
  const formerAccounts = new Map(former.accounts?.map((account) => [account.id, account]));
  const unrenewed = new Set<MinionId>();
  const accounts = own.accounts?.map((account): MinionAccount => {
    const {heldForMs, id, lastTerm = own.term - 1, leaseTerm = lastTerm} = account;
    if (!isUnreached(account) || former.term < lastTerm) {
      return account;
    }
    if (former.term >= leaseTerm) {
      unrenewed.add(id);
    }
    const formerAccount = formerAccounts.get(id);
    if (formerAccount === undefined) {
      return account;
    }
    const formerHeldForMs = unrenewed.has(id) ? formerAccount.heldForMs : Infinity;
    const leasedForMs = Math.min(heldForMs, formerHeldForMs);
    // This owner may have ended before it had read the former account.
    const runs = account.runs
      ? intersectRuns(account.runs, formerAccount.runs)
      : formerAccount.runs;
    const isFormerLease = account.runs === undefined && unrenewed.has(id);
    const {confirmedForMs, unconfirmed} = isFormerLease ? formerAccount : account;
    const leases = {confirmedForMs, heldForMs: leasedForMs, unconfirmed};
    // It may have found a minion silent in time that the former one did not.
    const {mayLeaveInMs, suspects} = account.suspects ? account : formerAccount;
    const crash = {
      ...(mayLeaveInMs === undefined ? {} : {mayLeaveInMs}),
      ...(suspects && {suspects}),
    };
    return {...formerAccount, ...leases, ...crash, lastTerm, leaseTerm, runs};
  });
  for (const {description} of own.silent) {
    unrenewed.delete(description.id);
  }
  const formerSilent = former.silent.filter(({description}) => unrenewed.has(description.id));
  return {accounts, silent: [...own.silent, ...formerSilent], term: own.term};
}

/** Omits the runs of the last minions when there are too many; their leases then have to expire. */
function limitRuns(record: ClosingRecord): ClosingRecord {
  let total = record.silent.reduce((sum, {silent}) => sum + (silent?.runs.length ?? 0), 0);
  const accounts = record.accounts?.map((account) => {
    const {suspects, ...others} = account;
    total += (account.runs?.length ?? 0) + (suspects?.runs.length ?? 0);
    return total <= MAX_RECORDED_RUNS ? account : {...others, runs: undefined};
  });
  return {...record, accounts};
}
