/** Each reason that withholds a task tells its bound, and the operators' page tells the same. */

import type {PlatformBounds} from '@nutmegproxy/core';
import type {JobState, Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';
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

  describe('leave out an unknown result', () => {
    /** Returns a job of which one run has failed and the last allowed one counts as lost on a silent minion. */
    function loseLastAttempt(speculative: boolean): {
      readonly job: JobState;
      readonly lost: Run;
      readonly sample: SampleFleet;
      readonly silent: MinionState;
    } {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape({speculative})]);
      const [run] = sample.plan(0);
      assert.ok(run);
      sample.fleet.finishRun(run, 'failed', undefined, at(100));
      const [lost] = sample.plan(200);
      const silent = sample.fleet.minions.get(lost?.minion ?? run.minion);
      assert.ok(lost && silent);
      silent.missedCalls = 2;
      sample.fleet.expireLease(silent);
      return {job, lost, sample, silent};
    }

    it('the task waits while a silent minion may have used its last attempt', () => {
      const {job, sample, silent} = loseLastAttempt(false);
      assert.equal(play(sample, 10_000, 70_000, () => 'done').size, 0);
      sample.fleet.clearUnknownResults(silent);
      assert.ok(play(sample, 70_100, 90_000, () => 'done').has(job));
    });

    // The users count attempts of a speculative task only once their ends are taken note of.
    it('but a speculative task does not wait for it', () => {
      const {job, sample} = loseLastAttempt(true);
      const startedMs = play(sample, 10_000, 70_000, () => 'done').get(job)?.[0] ?? Infinity;
      assert.ok(startedMs <= 200 + DEFAULT_PLATFORM_BOUNDS.finishMs, `${startedMs} ms`);
    });

    it('and starts no more once the minion has listed that failure', () => {
      const {job, lost, sample} = loseLastAttempt(true);
      sample.fleet.applyResult(lost.step, lost.task, lost.number, 'failed', undefined);
      assert.equal(play(sample, 10_000, 70_000, () => 'done').size, 0);
      assert.equal(job.status, 'failed');
    });
  });

  it('of safety don’t depend on how long callers wait', () => {
    for (const reason of REASONS.filter((each) => PENDING_BOUNDS[each].kind === 'safety')) {
      const {maxMs} = PENDING_BOUNDS[reason];
      assert.equal(maxMs(createSource({finishMs: 5_000})), maxMs(createSource()));
    }
  });
});
