import type {Instant, MinionId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionCandidate, MinionChoicePolicy} from '../../index.ts';

import {createRandom, MINION_CHOICES, OutlierTracker, RetryBudget} from '../../index.ts';

const NOW = 10_000 as Instant;
const MINIONS = ['m1', 'm2', 'm3', 'm4'].map((id) => brand<MinionId>(id));

function candidates(meanMs: readonly number[], at = NOW): MinionCandidate[] {
  return meanMs.map((mean, index) => ({
    inFlight: index,
    latency: {at, meanMs: mean},
    minion: brand<MinionId>(`m${index + 1}`),
    slots: 8,
  }));
}

describe('MinionChoice', () => {
  for (const policy of Object.keys(MINION_CHOICES) as MinionChoicePolicy[]) {
    it(`${policy} chooses one of the candidates, the same one for the same seed`, () => {
      const choose = MINION_CHOICES[policy](createRandom(3));
      const again = MINION_CHOICES[policy](createRandom(3));
      const all = candidates([5, 5, 5]);
      for (let index = 0; index < 20; index += 1) {
        const chosen = choose(all, NOW);
        assert.ok(chosen !== undefined && all.includes(chosen));
        assert.equal(again(all, NOW), chosen);
      }
      assert.equal(choose([], NOW), undefined);
    });
  }

  it('least-loaded chooses the minion with the fewest requests', () => {
    const choose = MINION_CHOICES['least-loaded'](createRandom(1));
    assert.equal(choose(candidates([9, 1, 1]), NOW)?.minion, 'm1');
  });

  it('power-of-two avoids a slow minion, but not by stale estimates', () => {
    const choose = MINION_CHOICES['power-of-two'](createRandom(1));
    const fresh = candidates([100, 5]);
    const stale = candidates([100, 5], 0 as Instant);
    assert.equal(choose(fresh, NOW)?.minion, 'm2');
    assert.equal(choose(stale, 100_000 as Instant)?.minion, 'm1');
  });
});

describe('OutlierTracker', () => {
  it('ejects a minion that fails alone and readmits it after one successful probe', () => {
    const tracker = new OutlierTracker();
    const [bad, ...good] = MINIONS as [MinionId, ...MinionId[]];
    for (let round = 0; round < 12; round += 1) {
      tracker.record(bad, false, NOW);
      good.forEach((each) => tracker.record(each, true, NOW));
    }
    assert.equal(tracker.allows(bad, NOW), false);
    const later = 60_000 as Instant;
    assert.equal(tracker.allows(bad, later), true);
    tracker.start(bad, later);
    assert.equal(tracker.allows(bad, later), false);
    assert.equal(tracker.record(bad, true, later), 'returned');
    assert.equal(tracker.allows(bad, later), true);
  });

  it('ejects no minion when all fail', () => {
    const tracker = new OutlierTracker();
    for (let round = 0; round < 20; round += 1) {
      MINIONS.forEach((each) => tracker.record(each, false, NOW));
    }
    assert.ok(MINIONS.every((each) => tracker.allows(each, NOW)));
  });
});

describe('RetryBudget', () => {
  it('limits retries to a share of the traffic', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let index = 0; index < 1000; index += 1) {
      budget.recordRequest();
      retries += budget.trySpend() ? 1 : 0;
    }
    assert.ok(retries >= 100 && retries <= 111, `${retries} retries`);
  });
});
