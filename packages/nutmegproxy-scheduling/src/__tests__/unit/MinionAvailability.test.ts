import type {JobId} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Unavailability} from '../../MinionAvailability.ts';
import type {MinionState} from '../../MinionState.ts';

import {LeaseClock} from '../../LeaseClock.ts';
import {DEFAULT_LEASE_TIMES} from '../../LeaseTimes.ts';
import {findUnavailability} from '../../MinionAvailability.ts';
import {isSchedulable} from '../../Placement.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const NOW = at(10_000);

function findMinion({fleet}: SampleFleet): MinionState {
  const [minion] = fleet.minions.values();
  assert.ok(minion);
  return minion;
}

/** Starts a run on the minion and quarantines it until `untilMs`. */
function quarantineWithRun(sample: SampleFleet, untilMs: number): void {
  sample.addJob('proofs', [shape({longRunning: true})]);
  sample.plan(0);
  findMinion(sample).trust.recordFailure(brand<JobId>('a'), at(untilMs - 2_000));
  findMinion(sample).trust.recordFailure(brand<JobId>('b'), at(untilMs - 2_000));
}

const CASES: Readonly<Record<Unavailability, (sample: SampleFleet) => void>> = {
  draining: (sample) => {
    const minion = findMinion(sample);
    minion.description = {...minion.description, isDraining: true};
  },
  'no-reading': (sample) => {
    Object.assign(findMinion(sample), {leaseClock: new LeaseClock(DEFAULT_LEASE_TIMES)});
  },
  'not-responding': (sample) => {
    findMinion(sample).missedCalls = 1;
  },
  quarantined: (sample) => {
    quarantineWithRun(sample, NOW + 1);
  },
  recorded: (sample) => {
    findMinion(sample).isRecordedUnreachable = true;
  },
  'task-trial': (sample) => {
    findMinion(sample).trialRun = {} as Run;
  },
  trial: (sample) => {
    quarantineWithRun(sample, NOW);
    // Beside a run that shows whether the minion is sound, it gets no other.
    sample.plan(NOW);
    for (const run of findMinion(sample).runs) {
      Object.assign(run, {sentAt: NOW});
    }
  },
  'unknown-runs': (sample) => {
    findMinion(sample).unknownRuns = 1;
  },
  unlisted: (sample) => {
    findMinion(sample).unlistedSince = at(NOW - 2_500);
  },
  unregistered: (sample) => {
    findMinion(sample).isRegistered = false;
  },
  unreported: (sample) => {
    findMinion(sample).hasReported = false;
  },
};

describe('findUnavailability', () => {
  for (const [reason, prepare] of Object.entries(CASES)) {
    it(`names ${reason} of a minion that gets no work for it`, () => {
      const sample = new SampleFleet(1);
      prepare(sample);
      assert.equal(findUnavailability(findMinion(sample), NOW), reason);
      assert.equal(isSchedulable(findMinion(sample), NOW), false);
    });
  }

  describe('of a minion that can get work', () => {
    const prepared: Readonly<Record<string, (minion: MinionState) => void>> = {
      'that has just lost its entry': (minion) => {
        minion.unlistedSince = at(NOW - 2_499);
      },
      'that is on trial and has no runs': ({trust}) => {
        trust.recordStall(at(0));
      },
      'with nothing to say': () => undefined,
    };
    for (const [name, prepare] of Object.entries(prepared)) {
      it(`${name} names nothing`, () => {
        const minion = findMinion(new SampleFleet(1));
        prepare(minion);
        assert.equal(findUnavailability(minion, NOW), undefined);
        assert.equal(isSchedulable(minion, NOW), true);
      });
    }
  });

  it('names what the minion says before what the owner believes', () => {
    const sample = new SampleFleet(1);
    CASES.trial(sample);
    CASES.draining(sample);
    assert.equal(findUnavailability(findMinion(sample), NOW), 'draining');
  });
});
