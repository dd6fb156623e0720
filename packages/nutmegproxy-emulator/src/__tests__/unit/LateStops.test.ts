/**
 * A lasting task runs again in time when the stop of its run arrives after the owner that sent it, or whose
 * relay carried it out, was killed, in each order of its arrival, the next owner's takeover and the departure.
 */

import {describe, it} from 'node:test';

import type {EntryChange, SettledOwnerFaults} from './SettledOwnerScenario.ts';

import {DRAINING_MS, NO_FAULTS, SettledOwnerScenario} from './SettledOwnerScenario.ts';

/** Each of them waits most of the time. */
const CONCURRENT_TESTS = 16;
/** Time in milliseconds from the beginning of the draining until the owner has sent the stop. */
const SENT_MS = 200;
/** Time in milliseconds from the kill until another VM is in charge, at least. */
const TAKEOVER_MS = 2_000;

/** Times in milliseconds from the kill to the arrival of the stop. */
const ARRIVALS_MS = [0, 500, 1_000, 1_900];

interface Departure {
  /** Time in milliseconds from the beginning of the draining until the minion leaves. */
  readonly drainingMs: number;
  readonly entries: readonly EntryChange[];
}

/** The first is before the takeover, the others are after it. */
const DEPARTURES: readonly Departure[] = [
  {drainingMs: 1_500, entries: ['removed']},
  {drainingMs: DRAINING_MS, entries: ['removed', 'kept']},
  {drainingMs: 6_000, entries: ['removed', 'kept']},
];

async function playLateStop(faults: SettledOwnerFaults, arrivalMs: number): Promise<void> {
  const scenario = new SettledOwnerScenario({...faults, stopDelayMs: SENT_MS + arrivalMs});
  try {
    await scenario.settle();
    scenario.beginDraining();
    await scenario.stepFor(SENT_MS);
    await scenario.killOwner();
    await scenario.stepFor(TAKEOVER_MS);
    await scenario.startOwner();
    await scenario.playAndCheck();
  } finally {
    await scenario.harness.close();
  }
}

for (const hasList of [false, true]) {
  const platform = hasList ? 'with a list of machines' : 'without a list of machines';
  describe(`A lasting task whose stop arrives after the kill of its owner, ${platform}`, () => {
    for (const {drainingMs, entries} of DEPARTURES) {
      const title = `on a minion that leaves ${drainingMs} ms after it began to drain`;
      describe(title, {concurrency: CONCURRENT_TESTS}, () => {
        for (const entry of entries) {
          for (const arrivalMs of ARRIVALS_MS) {
            it(`runs again within 9 s, and never twice at once: ${arrivalMs} ms after the kill, entry ${entry}`, () =>
              playLateStop({...NO_FAULTS, drainingMs, entry, hasList}, arrivalMs));
          }
        }
      });
    }
  });
}
