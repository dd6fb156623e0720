/** A lasting task of a minion that drains and leaves runs again in time under a settled owner, whatever calls are lost or late. */

import {describe, it} from 'node:test';

import type {EntryChange, SettledOwnerFaults, StartOutcome} from './SettledOwnerScenario.ts';

import {NO_FAULTS, SettledOwnerScenario} from './SettledOwnerScenario.ts';

/** Each of them waits most of the time. */
const CONCURRENT_TESTS = 16;

type NamedFaults = Partial<SettledOwnerFaults> & {readonly name: string};

const STOPS: readonly NamedFaults[] = [
  {name: 'an answered stop'},
  {name: 'a stop without a response', stopDelayMs: 0},
  {name: 'a stop that arrives 0.7 s late', stopDelayMs: 700},
  {name: 'a stop that arrives 2 s late', stopDelayMs: 2_000},
  {name: 'a stop that arrives 12 s late', stopDelayMs: 12_000},
  {name: 'a stop that is rejected four times', stopsRejected: 4},
  {name: 'stops that are rejected', stopsRejected: Infinity},
];
const STOPS_BESIDE_ODD_ENTRIES = STOPS.filter(
  ({stopDelayMs, stopsRejected}) =>
    stopsRejected === undefined && [undefined, 2_000].includes(stopDelayMs),
);
const POLLS: readonly NamedFaults[] = [
  {name: 'answered polls'},
  {arePollAnswersLost: true, name: 'lost listings'},
];
const ENTRIES: readonly EntryChange[] = ['removed', 'removed early', 'kept', 'rewritten'];
const DEPARTURES: readonly NamedFaults[] = [
  {name: 'leaves'},
  {isCutOff: true, name: 'is cut off and leaves'},
];
const STARTS: readonly NamedFaults[] = [
  {name: 'without a response', startDelayMs: 0},
  {name: 'carried out 2 s late', startDelayMs: 2_000},
  {name: 'carried out 5 s late', startDelayMs: 5_000},
  {name: 'lost', startDelayMs: Infinity},
];
const OUTCOMES: readonly StartOutcome[] = ['answers', 'drains', 'leaves', 'restarts', 'silent'];
const VERBS: Readonly<Record<StartOutcome, string>> = {
  answers: 'responds to polls',
  drains: 'drains and leaves',
  leaves: 'leaves',
  restarts: 'restarts',
  silent: 'falls silent',
};
const LISTS: readonly NamedFaults[] = [
  {name: 'without a list of machines'},
  {hasList: true, name: 'with a list of machines'},
];

function testOrder(name: string, faults: SettledOwnerFaults): void {
  it(`runs again within 9 s, and never twice at once: ${name}`, async () => {
    const scenario = new SettledOwnerScenario(faults);
    try {
      await scenario.settle();
      scenario.beginDraining();
      await scenario.playAndCheck();
    } finally {
      await scenario.harness.close();
    }
  });
}

for (const list of LISTS) {
  describe(`A lasting task of a minion that drains under a settled owner, ${list.name}`, () => {
    describe('when stops and listings are lost or late', {concurrency: CONCURRENT_TESTS}, () => {
      for (const departure of DEPARTURES) {
        for (const entry of ENTRIES) {
          for (const stop of entry === 'removed' ? STOPS : STOPS_BESIDE_ODD_ENTRIES) {
            for (const poll of POLLS) {
              const name = `${stop.name}, ${poll.name}, entry ${entry}, the minion ${departure.name}`;
              testOrder(name, {...NO_FAULTS, ...list, ...departure, ...stop, ...poll, entry});
            }
          }
        }
      }
    });

    describe('when its start elsewhere is lost or late', {concurrency: CONCURRENT_TESTS}, () => {
      for (const start of STARTS) {
        for (const startOutcome of OUTCOMES) {
          const name = `a start ${start.name} on a minion that then ${VERBS[startOutcome]}`;
          testOrder(name, {...NO_FAULTS, ...list, ...start, startOutcome});
        }
      }
    });

    describe(
      'when calls take as long to fail as on the platform',
      {concurrency: CONCURRENT_TESTS},
      () => {
        for (const startOutcome of OUTCOMES) {
          const name = `a start lost on a minion that ${VERBS[startOutcome]} 1.5 s later`;
          const times = {callTimeoutMs: 500, outcomeDelayMs: 1_500, startDelayMs: Infinity};
          testOrder(name, {...NO_FAULTS, ...list, ...times, startOutcome});
        }
      },
    );
  });
}
