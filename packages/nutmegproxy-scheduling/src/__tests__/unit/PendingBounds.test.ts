/** Each reason that withholds a task tells its bound, and the operators' page tells the same. */

import type {PlatformBounds} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';

import type {PendingBoundSource} from '../../PendingBounds.ts';
import type {PendingReason} from '../../PendingTaskReason.ts';

import {deriveLeaseTimes} from '../../LeaseTimes.ts';
import {describeBound, findExceedingReasons, PENDING_BOUNDS} from '../../PendingBounds.ts';
import {play} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const REASONS = Object.keys(PENDING_BOUNDS) as PendingReason[];

function createSource(change: Partial<PlatformBounds> = {}): PendingBoundSource {
  const bounds = {...DEFAULT_PLATFORM_BOUNDS, ...change};
  return {bounds, leaseTimes: deriveLeaseTimes(bounds)};
}

/** Returns the column "ends by itself" of the operators' page by reason. */
function readPage(): ReadonlyMap<string, string> {
  const [, table = ''] = readFileSync('docs/OPERATIONS.md', 'utf8').split(/^\| reason +\| field/mu);
  const [rows = ''] = table.split('\n\n');
  const cells = [...rows.matchAll(/^\| `([\w-]+)` +\|[^|]*\|[^|]*\|([^|]*)\|/gmu)];
  return new Map(cells.map(([, reason = '', text = '']) => [reason, text.trim()]));
}

describe('The bounds of the reasons that withhold a task', () => {
  describe('on the operators’ page', () => {
    const page = readPage();

    it('stand for each reason', () => {
      assert.deepEqual([...page.keys()].toSorted(), REASONS.toSorted());
    });

    for (const reason of REASONS) {
      it(`are those of the code (${reason})`, () => {
        assert.equal(page.get(reason), describeBound(reason, createSource()));
      });
    }
  });

  describe('of preferences', () => {
    for (const change of [
      {},
      {maxMinionLeaseMs: 6_000},
      {maxMinionLeaseMs: 20_000, minStoreLeaseMs: 5_000},
      {finishMs: 13_000, stopTimeoutMs: 400},
      {finishMs: 30_000},
    ]) {
      it(`end before work counts as lost, but for advice (${JSON.stringify(change)})`, () => {
        assert.deepEqual(findExceedingReasons(createSource(change)), ['advice']);
      });
    }

    it('name the last attempt where callers wait for a shorter time than it', () => {
      const reasons = findExceedingReasons(createSource({finishMs: 12_000}));
      assert.deepEqual(reasons, ['advice', 'last-attempt']);
    });
  });

  it('leave out an unknown result: the task waits while a silent minion may have used its last attempt', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape()]);
    const [run] = sample.plan(0);
    assert.ok(run);
    sample.fleet.finishRun(run, 'failed', undefined, at(100));
    const [last] = sample.plan(200);
    const silent = sample.fleet.minions.get(last?.minion ?? run.minion);
    assert.ok(last && silent);
    silent.missedCalls = 2;
    sample.fleet.expireLease(silent);
    assert.equal(play(sample, 10_000, 70_000, () => 'done').size, 0);
    sample.fleet.clearUnknownResults(silent);
    assert.ok(play(sample, 70_100, 90_000, () => 'done').has(job));
  });

  it('of safety don’t depend on how long callers wait', () => {
    for (const reason of REASONS.filter((each) => PENDING_BOUNDS[each].kind === 'safety')) {
      const {maxMs} = PENDING_BOUNDS[reason];
      assert.equal(maxMs(createSource({finishMs: 5_000})), maxMs(createSource()));
    }
  });
});
