/** A fleet whose minions accept leases of a chosen length, on the slowest clock and with a late timer. */

import type {FleetOwnership} from '@nutmegproxy/owner';
import type {LeaseTimes} from '@nutmegproxy/scheduling';

import assert from 'node:assert/strict';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds for which the minion has been up: its incarnation is long established. */
const UPTIME_MS = 500_000;
/** Reading in milliseconds of the clock of an incarnation that has just begun. */
const YOUNG_CLOCK_MS = 100;
const SETTLED_MS = 500;
/** Time in milliseconds that passes in each step, and the real pause after it. */
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

/** How an owner ends. */
export const ENDS = ['killed', 'stopped as planned'] as const;

export type OwnerEnd = (typeof ENDS)[number];

/**
 * @example
 * await play(leaseTimes, async (test) => {
 *   const minion = test.addMinion('m1', 6_000);
 * });
 */
export class LeaseBoundsCase {
  readonly harness = new TakeoverHarness();

  constructor(leaseTimes: LeaseTimes) {
    this.harness.clock.advance(UPTIME_MS);
    this.harness.leaseTimes = leaseTimes;
  }

  addMinion(name: string, maxMinionLeaseMs: number): EmulatedMinion {
    const bounds = {
      clockLagRate: 0.02,
      expiryLatenessMs: 250,
      maxMinionLeaseMs,
      restartClockMs: YOUNG_CLOCK_MS,
    };
    return this.harness.addMinion(name, undefined, bounds);
  }

  /** Adds a minion and waits until it has reported to the owner. */
  async addReportedMinion(name: string, maxMinionLeaseMs: number): Promise<EmulatedMinion> {
    const other = this.addMinion(name, maxMinionLeaseMs);
    await waitFor('the minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    return other;
  }

  async endOwner(owner: KillableOwner, end: OwnerEnd): Promise<void> {
    await (end === 'killed'
      ? owner.kill(OWNERSHIP_TTL_MS)
      : this.harness.stopAsPlanned(owner.started));
  }

  /** Lets time pass; no task may have two live runs meanwhile. */
  async pass(
    totalMs: number,
    ownership: FleetOwnership,
    isOver: () => boolean = () => false,
  ): Promise<void> {
    const {clock, fleet} = this.harness;
    for (let passedMs = 0; passedMs < totalMs && !isOver(); passedMs += STEP_MS) {
      await this.harness.passTime(ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      const live = [...fleet.minions.values()].flatMap((each) => {
        each.advance(clock.monotonic());
        return each.liveTasks;
      });
      assert.equal(new Set(live).size, live.length, `two live runs after ${String(passedMs)} ms`);
    }
  }
}

export async function play(
  leaseTimes: LeaseTimes,
  act: (test: LeaseBoundsCase) => Promise<void>,
): Promise<void> {
  const test = new LeaseBoundsCase(leaseTimes);
  try {
    await act(test);
  } finally {
    await test.harness.close();
  }
}
