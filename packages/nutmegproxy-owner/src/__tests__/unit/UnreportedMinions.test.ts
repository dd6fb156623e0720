import type {Instant, MinionId} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';

import {brand} from '@nutmegproxy/core';
import {MinionState} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {UnreportedMinions} from '../../UnreportedMinions.ts';

describe('UnreportedMinions', () => {
  const now = 1_000 as Instant;
  let minion: MinionState;
  let unreported: UnreportedMinions;

  beforeEach(() => {
    minion = new MinionState({id: brand<MinionId>('m1')} as MinionDescription);
    minion.leaseClock.assumeLeasedUntil(6_000 as Instant);
    unreported = new UnreportedMinions();
    unreported.add(minion);
  });

  it('names the minions that recovery waits for, and for how long', () => {
    minion.unlistedSince = now;
    assert.deepEqual(unreported.describe(now), {
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
});
