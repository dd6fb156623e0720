import type {QueueId} from '@nutmegproxy/jobs';
import type {SharingCosts, SharingPolicy} from '@nutmegproxy/scheduling';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueReport} from '../../SimulationReport.ts';

import {FleetSimulation} from '../../FleetSimulation.ts';
import {reportQueues} from '../../SimulationReport.ts';
import {drawJobs} from '../../Workload.ts';
import {
  ALERT_CLASS,
  ALERTS,
  createMinions,
  DIGEST_CLASS,
  DIGESTS,
  FULL_FLEET,
  SERVICE,
  WATCHER_CLASS,
  WATCHERS,
} from './LargeFleetLoad.ts';

const ARRIVALS_MS = 30_000;
const DURATION_MS = 40_000;
const ROUND_MS = 30;
const SEEDS = [7, 11, 23, 31];
/** Minions that are left when a tenth of the fleet is lost. */
const REDUCED_FLEET = Math.round(FULL_FLEET * 0.9);
/** Difference between two shares below which callers see no difference. */
const TOLERANCE = 0.01;

/** Places ordinary tasks where most processors are unused. */
function createSpreadingCosts(policy: SharingPolicy): SharingCosts {
  return {
    backfillCost: (minion, step, now) => policy.backfillCost(minion, step, now),
    ordinaryCost: ({spareCpuMilli}) => -spareCpuMilli,
    servingCost: (minion, shape) => policy.servingCost(minion, shape),
  };
}

function play(
  seed: number,
  minions: number,
  createSharingCosts?: (policy: SharingPolicy) => SharingCosts,
): ReadonlyMap<QueueId, QueueReport> {
  const classes = [ALERT_CLASS, DIGEST_CLASS, WATCHER_CLASS];
  const simulation = new FleetSimulation({
    ...(createSharingCosts === undefined ? {} : {createSharingCosts}),
    durationMs: DURATION_MS,
    jobs: drawJobs({classes, durationMs: ARRIVALS_MS, seed, service: SERVICE}),
    minions: createMinions(minions),
    roundMs: ROUND_MS,
    seed,
  });
  return reportQueues(simulation.run(), DURATION_MS);
}

function average(
  reports: readonly ReadonlyMap<QueueId, QueueReport>[],
  queue: QueueId,
  share: 'onTimeShare' | 'servedShare',
): number {
  return (
    reports.reduce((sum, report) => sum + (report.get(queue)?.[share] ?? 0), 0) / reports.length
  );
}

describe('FleetSimulation', () => {
  it('plays the same load to the same outcome', () => {
    assert.deepEqual([...play(7, FULL_FLEET)], [...play(7, FULL_FLEET)]);
  });

  describe('under the load of a large fleet that has lost a tenth of its minions', () => {
    const packed = SEEDS.map((seed) => play(seed, REDUCED_FLEET));
    const spread = SEEDS.map((seed) => play(seed, REDUCED_FLEET, createSpreadingCosts));

    it('completes more urgent jobs with large tasks on time than when tasks are spread', () => {
      const gain = average(packed, ALERTS, 'onTimeShare') - average(spread, ALERTS, 'onTimeShare');
      assert.ok(gain > TOLERANCE, `gain ${gain}`);
    });

    it('completes as much backfill on time', () => {
      const loss =
        average(spread, DIGESTS, 'onTimeShare') - average(packed, DIGESTS, 'onTimeShare');
      assert.ok(loss < TOLERANCE, `loss ${loss}`);
    });

    it('keeps as many long-running tasks at work', () => {
      const loss =
        average(spread, WATCHERS, 'servedShare') - average(packed, WATCHERS, 'servedShare');
      assert.ok(loss < TOLERANCE, `loss ${loss}`);
    });
  });
});
