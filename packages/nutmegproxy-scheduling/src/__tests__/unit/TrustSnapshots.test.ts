/** What owners make of snapshots of trust that are malformed or that they only pass on. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {TrustSnapshot} from '../../MinionTrust.ts';

import {describeDistrust, receiveDistrust, reviewFormerDistrust} from '../../MinionQuarantine.ts';
import {MinionTrust, parseTrustSnapshot} from '../../MinionTrust.ts';
import {JOB_A, JOB_B} from './ExclusionSamples.ts';
import {at, SampleFleet} from './Samples.ts';

const BORN_AT = 1_000;
const SNAPSHOT: TrustSnapshot = {
  bornAt: BORN_AT,
  failedForMs: 0,
  handovers: 0,
  heldForMs: 1_900,
  jobs: [JOB_A],
};
/** Longer than any quarantine, with what puts off its trial, and any time for which a failure is recent. */
const LONG_MS = 60_000;

describe('A snapshot of trust', () => {
  for (const change of [
    {heldForMs: 1e12},
    {heldForMs: '5000'},
    {heldForMs: undefined},
    {failedForMs: 'x'},
    {failedForMs: -1e12},
    {failedForMs: undefined},
  ]) {
    // Guards against minions that get no work for good by what a record says.
    it(`with ${JSON.stringify(change)} keeps no minion out for long that fails once more`, () => {
      const trust = new MinionTrust();
      const snapshot = parseTrustSnapshot({...SNAPSHOT, ...change});
      if (snapshot !== undefined) {
        trust.import(snapshot, at(0));
      }
      trust.recordFailure(JOB_B, at(100));
      assert.notEqual(trust.level(at(LONG_MS)), 'quarantined');
    });
  }

  for (const jobs of [undefined, null, 7, 'a']) {
    // Guards against owners that stop at each takeover by what a former one stored.
    it(`whose jobs are ${JSON.stringify(jobs)} is received without an error`, () => {
      const sample = new SampleFleet(2);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion);
      assert.doesNotThrow(() => {
        const snapshot = parseTrustSnapshot({...SNAPSHOT, jobs});
        if (snapshot !== undefined) {
          receiveDistrust(sample.fleet, minion, snapshot, at(0));
        }
      });
    });
  }
});

describe('A snapshot of trust that is whole', () => {
  it('is taken as it is stored', () => {
    assert.deepEqual(parseTrustSnapshot(JSON.parse(JSON.stringify(SNAPSHOT))), SNAPSHOT);
  });
});

describe('Distrust of a minion that an owner has not heard', () => {
  /** Returns what the third owner makes of a minion that the second one never heard. */
  function passThrough(bornAtOfSecond: number | undefined, bornAtOfThird: number): string {
    let snapshot: TrustSnapshot | undefined = SNAPSHOT;
    for (const bornAt of [bornAtOfSecond, bornAtOfThird]) {
      const sample = new SampleFleet(4);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion && snapshot);
      receiveDistrust(sample.fleet, minion, snapshot, at(0));
      minion.bornAt = bornAt;
      if (bornAt === bornAtOfThird) {
        reviewFormerDistrust(sample.fleet, minion, at(200));
        return minion.trust.level(at(200));
      }
      snapshot = describeDistrust(minion, at(100));
    }
    return 'none';
  }

  it('is passed on by it', () => {
    assert.equal(passThrough(undefined, BORN_AT), 'quarantined');
  });

  it('ends with another incarnation all the same', () => {
    const sample = new SampleFleet(4);
    const [minion] = [...sample.fleet.minions.values()];
    assert.ok(minion);
    receiveDistrust(sample.fleet, minion, SNAPSHOT, at(0));
    minion.bornAt = BORN_AT + 500;
    assert.equal(describeDistrust(minion, at(100))?.bornAt ?? BORN_AT, BORN_AT);
  });
});
