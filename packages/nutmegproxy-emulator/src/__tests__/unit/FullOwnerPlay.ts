/** A large fleet whose owner's process has a time for each call, so that it can be full. */

import {StartThrottle} from '@nutmegproxy/owner';

import type {FleetSimulationOptions} from '../../FleetSimulation.ts';

import {FleetSimulation} from '../../FleetSimulation.ts';
import {SimulatedOwnerTime} from '../../SimulatedOwnerTime.ts';
import {drawJobs} from '../../Workload.ts';
import {
  ALERT_CLASS,
  createMinions,
  DIGEST_CLASS,
  FULL_FLEET,
  SERVICE,
  WATCHER_CLASS,
} from './LargeFleetLoad.ts';

export const ARRIVALS_MS = 30_000;
const ROUND_MS = 30;
/** Calls that may wait in the owner's process before nothing more is started, as `StartLimiter` limits them. */
const MAX_WAITING_CALLS = 128;

/** Creates a simulation whose jobs arrive within 30 s; `callMs` is the time of a call in milliseconds. */
export function createFullOwner(
  seed: number,
  callMs: number,
  /** Time in milliseconds for which it goes on after the last arrival. */
  finishMs: number,
  /** Whether the starts of deferrable tasks are limited. */
  isThrottled = true,
  /** Share of the owner's time that work takes which does not depend on the calls. */
  otherShare = 0,
  /** How late the owner learns of ends, and minions of starts. */
  lateness: Pick<FleetSimulationOptions, 'listingIntervalMs' | 'startDelayMs'> = {},
): FleetSimulation {
  const ownerTime = new SimulatedOwnerTime(callMs, otherShare);
  let nowMs = 0;
  const throttle = new StartThrottle(() => ownerTime.readLoop(nowMs));
  const classes = [ALERT_CLASS, DIGEST_CLASS, WATCHER_CLASS];
  return new FleetSimulation({
    ...lateness,
    durationMs: ARRIVALS_MS + finishMs,
    jobs: drawJobs({classes, durationMs: ARRIVALS_MS, seed, service: SERVICE}),
    minions: createMinions(FULL_FLEET),
    ownerTime,
    roundMs: ROUND_MS,
    seed,
    throttle: {
      getAllowance: (now, work) => {
        nowMs = now;
        return isThrottled ? throttle.getAllowance(now, work) : Infinity;
      },
      getRoom: (now) =>
        isThrottled ? Math.max(1, MAX_WAITING_CALLS - ownerTime.countWaiting(now)) : Infinity,
      recordStarts: (count) => {
        throttle.recordStarts(count);
      },
    },
  });
}
