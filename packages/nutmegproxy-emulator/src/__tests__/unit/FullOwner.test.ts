import type {QueueId} from '@nutmegproxy/jobs';

import {StartThrottle} from '@nutmegproxy/owner';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueReport} from '../../SimulationReport.ts';

import {FleetSimulation} from '../../FleetSimulation.ts';
import {SimulatedOwnerTime} from '../../SimulatedOwnerTime.ts';
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
} from './LargeFleetLoad.ts';

const ARRIVALS_MS = 30_000;
const DURATION_MS = 40_000;
const ROUND_MS = 30;
const SEEDS = [7, 11, 23, 31];
/** Time in milliseconds of a call with which the load needs more than the owner's process has. */
const FULL_CALL_MS = 1.8;
/** The same with which the load needs half as much again. */
const OVERLOADED_CALL_MS = 2.6;
/** Share of the urgent work that must stay on time, of what is beside an owner that is idle. */
const MIN_KEPT_SHARE = 0.9;

type Reports = readonly ReadonlyMap<QueueId, QueueReport>[];

function playSeed(seed: number, callMs: number): ReadonlyMap<QueueId, QueueReport> {
  const ownerTime = new SimulatedOwnerTime(callMs);
  let nowMs = 0;
  const throttle = new StartThrottle(() => ownerTime.readLoop(nowMs));
  const classes = [ALERT_CLASS, DIGEST_CLASS, WATCHER_CLASS];
  const simulation = new FleetSimulation({
    durationMs: DURATION_MS,
    jobs: drawJobs({classes, durationMs: ARRIVALS_MS, seed, service: SERVICE}),
    minions: createMinions(FULL_FLEET),
    ownerTime,
    roundMs: ROUND_MS,
    seed,
    throttle: {
      getAllowance: (now) => {
        nowMs = now;
        return throttle.getAllowance(now);
      },
      recordStarts: (count) => {
        throttle.recordStarts(count);
      },
    },
  });
  return reportQueues(simulation.run(), DURATION_MS);
}

function play(callMs: number): Reports {
  return SEEDS.map((seed) => playSeed(seed, callMs));
}

function average(reports: Reports, queue: QueueId, share: (report: QueueReport) => number): number {
  const shares = reports.flatMap((report) => {
    const found = report.get(queue);
    return found === undefined ? [] : [share(found)];
  });
  return shares.reduce((sum, each) => sum + each, 0) / shares.length;
}

describe('An owner whose process is full', () => {
  const idle = play(0);
  const loads = {
    'by a tenth too much work': play(FULL_CALL_MS),
    'by half too much work': play(OVERLOADED_CALL_MS),
  };
  for (const [load, reports] of Object.entries(loads)) {
    describe(load, () => {
      it('completes urgent jobs on time beside more backfill than it can start', () => {
        const onTime = average(reports, ALERTS, ({onTimeShare}) => onTimeShare);
        const beside = average(idle, ALERTS, ({onTimeShare}) => onTimeShare);
        assert.ok(onTime >= MIN_KEPT_SHARE * beside, `on time ${onTime}, when idle ${beside}`);
      });

      it('completes at least half as many of the largest backfill jobs as of all', () => {
        const all = average(reports, DIGESTS, ({sizes}) => sizes.all);
        for (const size of ['largestTenth', 'nextFifth'] as const) {
          const share = average(reports, DIGESTS, ({sizes}) => sizes[size]);
          assert.ok(share >= all / 2, `${size} ${share}, all ${all}`);
        }
      });
    });
  }
});
