/** The log of serving tasks that are near their targets beside backfill. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ServingSample} from './ServingSamples.ts';

const REPORT_INTERVAL_MS = 300;

describe('The log of serving tasks near their targets', () => {
  describe('beside backfill', () => {
    it('says since when, what works there and why', () => {
      const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
      const minion = sample.addServingMinion('m1');
      sample.report(minion, 10, 0);
      const [run] = sample.addBackfill(minion, 1, 100);
      assert.ok(run);
      run.toleratedSince = run.sentAt;
      for (let now = 300; now <= 2_400; now += REPORT_INTERVAL_MS) {
        sample.report(minion, 60, now);
      }
      assert.equal(sample.lines.length, 1);
      const [line] = sample.lines;
      assert.ok(line);
      assert.equal(line.minion, 'm1');
      assert.equal(line.sinceMs, 2_100);
      assert.equal(line.nearMs, 1_800);
      assert.equal(line.tailMs, 60);
      assert.equal(line.targetMs, 50);
      assert.match(String(line.named), /^0{15}2\.0\.0\.0\/1\/stopping\/percent=0\/ms=2000$/u);
    });

    it('tells that nothing is known of the time before the first report', () => {
      const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
      const minion = sample.addServingMinion('m1');
      const [run] = sample.addBackfill(minion, 1, 0);
      assert.ok(run);
      run.isAdopted = true;
      sample.report(minion, 60, 0);
      assert.equal(sample.lines.length, 1);
      assert.equal(sample.lines[0]?.sinceMs, undefined);
      assert.equal(sample.lines[0]?.firstReportMs, 0);
    });
  });

  it('has no lines without backfill', () => {
    const sample = new ServingSample(DEFAULT_PLATFORM_BOUNDS);
    const minion = sample.addServingMinion('m1');
    for (let now = 0; now <= 6_000; now += REPORT_INTERVAL_MS) {
      sample.report(minion, 60, now);
    }
    assert.deepEqual(sample.lines, []);
  });
});
