/** Since when backfill may have kept serving tasks over their targets, as far as reports tell. */

import type {Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {BackfillExposure} from '../../BackfillExposure.ts';
import {at} from './Samples.ts';
import {ServingSample, TARGET_MS} from './ServingSamples.ts';

const OVER_MS = TARGET_MS * 2;
const BELOW_MS = TARGET_MS / 2;
const NEAR = 'near';
const BELOW = 'below';

describe('BackfillExposure', () => {
  function createMinion(): {
    addBackfill: (now: number) => Run;
    end: (run: Run, now: number) => void;
    exposure: BackfillExposure;
    minion: MinionState;
  } {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    const addBackfill = (now: number): Run => {
      const [run] = sample.addBackfill(minion, 1, now);
      assert.ok(run);
      return run;
    };
    const end = (run: Run, now: number): void => {
      sample.fleet.finishRun(run, 'done', undefined, at(now));
    };
    return {addBackfill, end, exposure: new BackfillExposure(), minion};
  }

  it('counts from the last report that showed a tail latency below its target', () => {
    const {addBackfill, exposure, minion} = createMinion();
    addBackfill(0);
    exposure.review(minion, BELOW, at(1_000));
    exposure.review(minion, NEAR, at(3_000));
    assert.equal(exposure.findSince(minion), 1_000);
    assert.equal(exposure.findNearSince(minion), 3_000);
  });

  it('counts from the start of backfill beside a task that was over its target before', () => {
    const {addBackfill, exposure, minion} = createMinion();
    for (const now of [0, 1_000, 2_000]) {
      exposure.review(minion, NEAR, at(now));
    }
    addBackfill(2_500);
    assert.equal(exposure.findSince(minion), 2_500);
    exposure.review(minion, NEAR, at(3_000));
    assert.equal(exposure.findSince(minion), 2_500);
  });

  describe('of a minion on which backfill follows other backfill', () => {
    it('goes on after a gap in which its tail latencies do not fall', () => {
      const {addBackfill, end, exposure, minion} = createMinion();
      exposure.review(minion, NEAR, at(0));
      exposure.review(minion, NEAR, at(1_000));
      const first = addBackfill(1_100);
      exposure.review(minion, NEAR, at(2_000));
      end(first, 2_500);
      exposure.review(minion, NEAR, at(2_500));
      addBackfill(2_600);
      exposure.review(minion, NEAR, at(3_000));
      assert.equal(exposure.findSince(minion), 1_100);
    });

    it('begins anew after a longer one', () => {
      const {addBackfill, end, exposure, minion} = createMinion();
      exposure.review(minion, BELOW, at(0));
      const first = addBackfill(100);
      end(first, 1_500);
      exposure.review(minion, NEAR, at(1_500));
      addBackfill(2_500);
      exposure.review(minion, NEAR, at(3_000));
      assert.equal(exposure.findSince(minion), 2_500);
    });
  });

  describe('under a new owner', () => {
    it('is not known where a former owner has started the backfill', () => {
      const {addBackfill, exposure, minion} = createMinion();
      addBackfill(0).isAdopted = true;
      exposure.review(minion, NEAR, at(1_000));
      assert.equal(exposure.findSince(minion), -Infinity);
    });

    it('does not take a minion for clear of backfill at its first report', () => {
      const {exposure, minion} = createMinion();
      exposure.review(minion, NEAR, at(0));
      assert.equal(exposure.isClear(minion, at(0)), false);
      exposure.review(minion, NEAR, at(1_000));
      assert.equal(exposure.isClear(minion, at(1_000)), true);
    });
  });

  it('counts backfill that has come and gone between two reports', () => {
    const {addBackfill, end, exposure, minion} = createMinion();
    for (const now of [0, 1_000]) {
      exposure.review(minion, NEAR, at(now));
    }
    for (let now = 1_000; now < 6_000; now += 500) {
      end(addBackfill(now + 100), now + 500);
      exposure.review(minion, NEAR, at(now + 500));
      assert.equal(exposure.isClear(minion, at(now + 500)), false);
    }
    addBackfill(6_000);
    assert.equal(exposure.findSince(minion), 1_000);
  });

  it('counts from the first sending of a start that is sent again', () => {
    const {addBackfill, exposure, minion} = createMinion();
    for (const now of [0, 1_000]) {
      exposure.review(minion, NEAR, at(now));
    }
    addBackfill(1_100).sentAt = at(2_600);
    exposure.review(minion, NEAR, at(2_700));
    assert.equal(exposure.findSince(minion), 1_100);
  });

  it('does not take a minion for clear at the report of the end of its backfill', () => {
    const {addBackfill, end, exposure, minion} = createMinion();
    const run = addBackfill(0);
    exposure.review(minion, NEAR, at(100));
    end(run, 2_000);
    exposure.review(minion, NEAR, at(2_000));
    assert.equal(exposure.isClear(minion, at(2_000)), false);
  });
});

describe('Backfill of a former owner beside a task over its target', () => {
  it('is stopped at the first report, as nobody knows since when it works there', () => {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    const runs = sample.addBackfill(minion, 3, 0);
    for (const run of runs) {
      run.isAdopted = true;
    }
    sample.report(minion, OVER_MS, 100);
    assert.deepEqual(
      runs.map(({phase}) => phase),
      ['stopping', 'stopping', 'stopping'],
    );
  });

  it('works on beside a task below its target', () => {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    const [run] = sample.addBackfill(minion, 1, 0);
    assert.ok(run);
    run.isAdopted = true;
    sample.report(minion, BELOW_MS, 100);
    assert.equal(run.phase, 'running');
  });
});

describe('Backfill beside a task over its target', () => {
  it('is stopped in time when no further report comes', () => {
    const {maxExceededTargetMs, stopTimeoutMs} = DEFAULT_PLATFORM_BOUNDS;
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    sample.report(minion, BELOW_MS, 0);
    const runs = sample.addBackfill(minion, 3, 0);
    sample.report(minion, OVER_MS, 900);
    const latestMs = maxExceededTargetMs - stopTimeoutMs;
    for (let now = 900; now < latestMs; now += 50) {
      sample.policy.evictExpiredRuns(sample.fleet, minion, at(now));
    }
    assert.ok(runs.every(({phase}) => phase === 'stopping'));
  });

  it('gets no other backfill there until a report shows the task below its target', () => {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    const other = sample.addServingMinion('m2');
    sample.report(minion, OVER_MS, 0);
    sample.report(other, BELOW_MS, 0);
    const [run] = sample.addBackfill(other, 1, 0);
    assert.ok(run);
    const {step} = run;
    for (const now of [100, 600]) {
      sample.report(minion, OVER_MS, now);
      assert.equal(sample.policy.backfillCost(minion, step, at(now)), undefined);
    }
    for (let now = 1_000; now <= 10_000; now += 1_000) {
      sample.report(minion, BELOW_MS, now);
    }
    assert.notEqual(sample.policy.backfillCost(minion, step, at(10_000)), undefined);
  });
});
