/** A step that needs advice does not wait for ever for minions that are trusted. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Ticket} from '../../AdviceCache.ts';

import {AdviceCache} from '../../AdviceCache.ts';
import {chooseAdviceQuery} from '../../AdviceQueries.ts';
import {planStarts} from '../../StartPlanner.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const ADVICE = {callMs: 100, perMinionMs: 10, validMs: 3_000};
/** Time after which callers count work as lost that waits beside free room, as the users specify. */
const FINISH_MS = 14_000;
const ROUND_MS = 100;

describe('A step that needs advice, while all minions are quarantined again and again', () => {
  it('starts before it is lost', () => {
    const sample = new SampleFleet(2, [queue('advised', {advice: ADVICE})]);
    const {fleet} = sample;
    sample.addJob('advised', [shape()]);
    const cache = new AdviceCache();
    let startedAt = Infinity;
    for (let nowMs = 0; nowMs <= FINISH_MS && startedAt === Infinity; nowMs += ROUND_MS) {
      const [now, wall] = [at(nowMs), wallAt(nowMs)];
      for (const minion of fleet.minions.values()) {
        if (minion.trust.level(now) !== 'quarantined') {
          failTwice(minion, nowMs);
        }
      }
      const starts = planStarts(fleet, {
        advice: {isPermitted: (step, minion) => cache.isPermitted(step, minion, now)},
        estimator: sample.estimator,
        now,
        sharingCosts: NO_SHARING_COSTS,
        wall,
      });
      startedAt = starts.length > 0 ? nowMs : Infinity;
      const query = chooseAdviceQuery(cache, fleet, {bounds: DEFAULT_PLATFORM_BOUNDS, now, wall});
      if (query !== undefined) {
        const tickets = new Map(query.minions.map(({id}) => [id, 'ticket' as Ticket]));
        cache.recordResponse(query, tickets, at(nowMs + ADVICE.validMs));
      }
    }
    assert.ok(startedAt <= FINISH_MS, `${startedAt}`);
  });
});
