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

describe('Steps that need advice', () => {
  const CALL_MS = 400;

  /** Returns when the last of the steps has been asked for, in milliseconds; the service fails calls for the first. */
  function measureLastCall(minions: number, steps: number, isFirstFailing: boolean): number {
    const sample = new SampleFleet(minions, [queue('advised', {advice: ADVICE})]);
    const jobs = Array.from({length: steps}, () => sample.addJob('advised', [shape({count: 50})]));
    const cache = new AdviceCache();
    const asked = new Set<unknown>();
    for (let nowMs = 0; nowMs <= 60_000; nowMs += CALL_MS) {
      const now = at(nowMs);
      const context = {bounds: DEFAULT_PLATFORM_BOUNDS, now, wall: wallAt(nowMs)};
      const query = chooseAdviceQuery(cache, sample.fleet, context);
      if (query === undefined) {
        break;
      }
      cache.recordCall(query, now);
      asked.add(query.step.job);
      if (asked.size === steps) {
        return nowMs + CALL_MS;
      }
      if (!isFirstFailing || query.step.job !== jobs[0]) {
        cache.recordResponse(query, new Map(), at(nowMs + ADVICE.validMs));
      }
    }
    return Infinity;
  }

  // Guards against a step that is not asked for as others are permitted on few minions.
  it('are asked for in turn although no minion is permitted', () => {
    const lastMs = measureLastCall(300, 5, false);
    assert.ok(lastMs < FINISH_MS, `${lastMs}`);
  });

  // Guards against an old step that is not asked for again once its tickets have expired.
  it('are asked for again although new ones come as fast as they can be asked for', () => {
    const sample = new SampleFleet(1, [queue('advised', {advice: ADVICE})]);
    const old = sample.addJob('advised', [shape()]);
    const cache = new AdviceCache();
    const calls: number[] = [];
    for (let nowMs = 0; nowMs <= 2 * FINISH_MS; nowMs += CALL_MS) {
      const [now, wall] = [at(nowMs), wallAt(nowMs)];
      sample.addJob('advised', [shape()], nowMs);
      for (const step of [...sample.fleet.jobs.values()].flatMap((job) => [
        ...(job.occurrence(0) ?? []),
      ])) {
        step.readyAt ??= now;
      }
      const query = chooseAdviceQuery(cache, sample.fleet, {
        bounds: DEFAULT_PLATFORM_BOUNDS,
        now,
        wall,
      });
      if (query !== undefined) {
        cache.recordCall(query, now);
        const tickets = new Map(query.minions.map(({id}) => [id, 'ticket' as Ticket]));
        cache.recordResponse(query, tickets, at(nowMs + ADVICE.validMs));
        calls.push(...(query.step.job === old ? [nowMs] : []));
      }
    }
    const waits = calls.map((calledAt, index) => calledAt - (calls[index - 1] ?? 0));
    assert.ok(calls.length > 1 && Math.max(...waits) < FINISH_MS, calls.join());
  });

  it('are asked for in turn although the calls for one of them fail', () => {
    const lastMs = measureLastCall(30, 5, true);
    assert.ok(lastMs < FINISH_MS, `${lastMs}`);
  });

  it('are asked for although the calls for one that is overdue fail', () => {
    const sample = new SampleFleet(1, [queue('advised', {advice: ADVICE})]);
    const failing = sample.addJob('advised', [shape()]);
    const cache = new AdviceCache();
    const asked = new Set<unknown>();
    sample.plan(0);
    for (let nowMs = 0; nowMs <= 2 * FINISH_MS; nowMs += CALL_MS) {
      if (nowMs === FINISH_MS) {
        sample.addJob('advised', [shape()], nowMs);
      }
      sample.plan(nowMs);
      const [now, wall] = [at(nowMs), wallAt(nowMs)];
      const context = {bounds: DEFAULT_PLATFORM_BOUNDS, now, wall};
      const query = chooseAdviceQuery(cache, sample.fleet, context);
      assert.ok(query);
      cache.recordCall(query, now);
      asked.add(query.step.job);
    }
    assert.ok(asked.has(failing) && asked.size === 2);
  });
});
