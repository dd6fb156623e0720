import type {QueueId} from '@nutmegproxy/jobs';
import type {SharingCosts, SharingPolicy} from '@nutmegproxy/scheduling';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueReport, SizeReport} from '../../SimulationReport.ts';
import type {JobClass} from '../../Workload.ts';

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
import {
  CATALOGUE_CLASS,
  CATALOGUES,
  CROWDING_CATALOGUE_CLASS,
  FITTING_CATALOGUE_CLASS,
  PROOF_CLASS,
  PROOFS,
  RETOUCH_CLASS,
  SERVING_FLEET,
} from './ServingFleetLoad.ts';

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

interface Play {
  readonly classes?: readonly JobClass[];
  readonly createSharingCosts?: (policy: SharingPolicy) => SharingCosts;
  readonly minions: number;
  readonly seed: number;
}

function play({
  classes = [ALERT_CLASS, DIGEST_CLASS, WATCHER_CLASS],
  createSharingCosts,
  minions,
  seed,
}: Play): ReadonlyMap<QueueId, QueueReport> {
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
    const load = {minions: FULL_FLEET, seed: 7};
    assert.deepEqual([...play(load)], [...play(load)]);
  });

  describe('under the load of a large fleet that has lost a tenth of its minions', () => {
    const packed = SEEDS.map((seed) => play({minions: REDUCED_FLEET, seed}));
    const spread = SEEDS.map((seed) =>
      play({createSharingCosts: createSpreadingCosts, minions: REDUCED_FLEET, seed}),
    );

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

  describe('under long-running jobs that ask more than the fleet has', () => {
    /** Share of the urgent work that must stay on time, of what is with long-running jobs that fit. */
    const MIN_KEPT_SHARE = 0.9;
    const MIN_FITTING_SHARE = 0.95;
    const playWith = (catalogue: JobClass): ReadonlyMap<QueueId, QueueReport>[] =>
      [...SEEDS, 41, 53, 61, 71].map((seed) =>
        play({classes: [PROOF_CLASS, RETOUCH_CLASS, catalogue], minions: SERVING_FLEET, seed}),
      );
    const reports = playWith(CATALOGUE_CLASS);
    const fitting = playWith(FITTING_CATALOGUE_CLASS);
    const averageSize = (of: typeof reports, size: keyof SizeReport): number =>
      of.reduce((sum, report) => sum + (report.get(CATALOGUES)?.sizes[size] ?? 0), 0) / of.length;

    for (const {name, of} of [
      {name: 'them', of: reports},
      {
        name: 'them when far more is asked for from the start',
        of: playWith(CROWDING_CATALOGUE_CLASS),
      },
    ]) {
      it(`gives the largest of ${name} at least half as much as all`, () => {
        const all = averageSize(of, 'all');
        for (const size of ['largestTenth', 'nextFifth'] as const) {
          const share = averageSize(of, size);
          assert.ok(share >= all / 2, `${size} ${share}, all ${all}`);
        }
      });
    }

    it('completes nearly as much urgent work on time as beside long-running jobs that fit', () => {
      const served = average(fitting, CATALOGUES, 'servedShare');
      assert.ok(served >= MIN_FITTING_SHARE, `served of those that fit: ${served}`);
      const onTime = average(reports, PROOFS, 'onTimeShare');
      const onTimeBesideFitting = average(fitting, PROOFS, 'onTimeShare');
      assert.ok(
        onTime >= MIN_KEPT_SHARE * onTimeBesideFitting,
        `on time ${onTime}, beside jobs that fit ${onTimeBesideFitting}`,
      );
    });
  });
});
