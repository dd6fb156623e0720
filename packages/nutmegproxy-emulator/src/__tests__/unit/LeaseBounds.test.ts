/**
 * Whatever the longest lease is that minions accept: no task has two live runs, no running work lapses while an owner is
 * in touch, and interrupted lasting tasks run again in time. Runs by hand choose other plays by
 * LEASE_BOUNDS_SEED and LEASE_BOUNDS_RUNS, one of them by LEASE_BOUNDS_PLAY, and late calls that reach later
 * incarnations, which are known to fail, by LEASE_BOUNDS_LATER.
 */

import fc from 'fast-check';
import {describe, it} from 'node:test';

import type {LeaseBoundsPlay} from './LeaseBoundsPlays.ts';

import {drawPlays, KEPT_PLAYS} from './LeaseBoundsPlays.ts';
import {LeaseBoundsScenario} from './LeaseBoundsScenario.ts';

const SEED = Number(process.env.LEASE_BOUNDS_SEED ?? 59);
const RUNS = Number(process.env.LEASE_BOUNDS_RUNS ?? 24);
/** Whether late calls reach later incarnations in all plays. */
const REACHES_LATER = process.env.LEASE_BOUNDS_LATER !== undefined;
/** Index of the only play; undefined for all. */
const ONLY_PLAY = process.env.LEASE_BOUNDS_PLAY;
/** Each of them waits most of the time. */
const CONCURRENT_TESTS = 24;

function describePlay({events, hasList, maxMinionLeaseMs}: LeaseBoundsPlay): string {
  const list = hasList ? 'with the list' : 'without';
  const steps = events.map(
    ({afterMs, kind, lengthMs, minion}) => `+${afterMs} ${kind} ${minion} ${lengthMs}`,
  );
  return `${maxMinionLeaseMs} ms, ${list}: ${steps.join(', ')}`;
}

describe('Minions that accept leases of any length', {concurrency: CONCURRENT_TESTS}, () => {
  for (const [index, each] of fc
    .sample(fc.noBias(drawPlays(REACHES_LATER)), {numRuns: RUNS, seed: SEED})
    .entries()) {
    if (ONLY_PLAY === undefined || index === Number(ONLY_PLAY)) {
      it(`play ${index} of seed ${SEED}: ${describePlay(each)}`, () =>
        new LeaseBoundsScenario(each).run());
    }
  }
  for (const {cause, play} of KEPT_PLAYS) {
    it(`kept play: ${cause}`, () => new LeaseBoundsScenario(play).run());
  }
});
