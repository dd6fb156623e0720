/** Lasting backfill of a step with a disruption budget is not stopped beyond it. */

import type {Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {at} from './Samples.ts';
import {ServingSample, TARGET_MS} from './ServingSamples.ts';

const TASKS = 4;
const REPORT_INTERVAL_MS = 300;
const RISE_MS = 4_000;

describe('Lasting backfill beside tail latencies that rise together', () => {
  function play(disruptionBudget: number | undefined): {mostAway: number; stopped: number} {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minions = Array.from({length: TASKS}, (_, n) => sample.addServingMinion(`m${n}`));
    for (const minion of minions) {
      sample.report(minion, TARGET_MS / 2, 0);
    }
    const step = sample.addLastingBackfill(TASKS, disruptionBudget);
    const runs = new Map<MinionState, Run>(
      minions.map((minion, index) => [minion, sample.startLasting(step, index, minion, 0)]),
    );
    let mostAway = 0;
    for (let now = REPORT_INTERVAL_MS; now <= RISE_MS; now += REPORT_INTERVAL_MS) {
      for (const minion of minions) {
        sample.report(minion, TARGET_MS * 2, now);
        sample.policy.evictExpiredRuns(sample.fleet, minion, at(now));
      }
      const away = [...runs.values()].filter(({phase}) => phase !== 'running').length;
      mostAway = Math.max(mostAway, away);
    }
    return {mostAway, stopped: sample.fleet.pendingStops.length};
  }

  it('is not stopped beyond its disruption budget', () => {
    for (const budget of [1, 2, 3]) {
      assert.deepEqual(play(budget), {mostAway: budget, stopped: budget});
    }
  });

  it('is stopped as a whole without a budget', () => {
    assert.deepEqual(play(undefined), {mostAway: TASKS, stopped: TASKS});
  });

  it('does not keep other backfill beside it from being stopped', () => {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    sample.report(minion, TARGET_MS / 2, 0);
    const lasting = sample.startLasting(sample.addLastingBackfill(1, 0), 0, minion, 0);
    lasting.reading = 3_000;
    const [other] = sample.addBackfill(minion, 1, 0);
    sample.report(minion, TARGET_MS * 2, REPORT_INTERVAL_MS);
    assert.deepEqual([lasting.phase, other?.phase], ['running', 'stopping']);
  });
});
