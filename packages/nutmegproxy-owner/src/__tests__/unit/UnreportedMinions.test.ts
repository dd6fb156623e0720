import type {Instant, MinionId} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES, MinionState} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {UnreportedMinions} from '../../UnreportedMinions.ts';

describe('UnreportedMinions', () => {
  const now = 1_000 as Instant;
  let minion: MinionState;
  let unreported: UnreportedMinions;

  beforeEach(() => {
    minion = new MinionState({id: brand<MinionId>('m1')} as MinionDescription, DEFAULT_LEASE_TIMES);
    minion.leaseClock.assumeLeasedUntil(6_000 as Instant);
    unreported = new UnreportedMinions();
    unreported.add(minion);
  });

  it('names the minions that recovery waits for, and for how long', () => {
    minion.unlistedSince = now;
    assert.deepEqual(unreported.describe(now), {
      accounts: 0,
      longestMs: 5_000,
      minions: 1,
      named: 'm1',
      unlisted: 1,
    });
  });

  it('is empty once each minion has reported or its leases have expired', () => {
    assert.equal(unreported.isEmpty(now), false);
    assert.equal(unreported.isEmpty(6_000 as Instant), true);
  });

  describe('an account of the former owner', () => {
    it('names the runs of a minion until it has reported', () => {
      assert.equal(unreported.findRuns(minion, now), undefined);
      unreported.keepAccounts([{heldForMs: 3_000, id: minion.id, runs: []}], now);
      assert.deepEqual(unreported.findRuns(minion, 2_000 as Instant), {
        remainingMs: 2_000,
        runs: [],
      });
      minion.areRunsKnown = true;
      assert.equal(unreported.findRuns(minion, now), undefined);
    });

    it('tells how long the leases of all runs but unconfirmed ones last', () => {
      const unconfirmed = [['3f6718a4051e2adb.0.0.0', 1 as RunNumber]] as const;
      const account = {heldForMs: 5_000, id: minion.id, runs: unconfirmed, unconfirmed};
      unreported.keepAccounts([{...account, confirmedForMs: 3_000}], now);
      assert.deepEqual(unreported.findRuns(minion, 2_000 as Instant), {
        confirmedMs: 2_000,
        remainingMs: 4_000,
        runs: unconfirmed,
        unconfirmed,
      });
    });

    it('shortens the wait for a minion whose runs the former owner did not know', () => {
      unreported.keepAccounts([{heldForMs: 2_000, id: minion.id}], now);
      assert.equal(unreported.findRuns(minion, now), undefined);
      assert.equal(unreported.isEmpty(2_900 as Instant), false);
      assert.equal(unreported.isEmpty(3_100 as Instant), true);
    });
  });
});
