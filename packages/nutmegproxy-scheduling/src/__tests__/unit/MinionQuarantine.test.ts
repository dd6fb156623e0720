import type {ServiceId} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionDescription, MinionState} from '../../MinionState.ts';

import {describeDistrust, receiveDistrust, reviewFormerDistrust} from '../../MinionQuarantine.ts';
import {failTwice} from './ExclusionSamples.ts';
import {at, RecordedEvents, SampleFleet} from './Samples.ts';

const TAKEOVER_MS = 500;

/** The fleet of a new owner, whose minions that a former owner had quarantined are named `bad-...`. */
class NextOwner {
  readonly events = new RecordedEvents();
  readonly sample = new SampleFleet(0, [], this.events);

  addBad(name: string, change: Partial<MinionDescription> = {}): MinionState {
    const minion = this.add(`bad-${name}`, change);
    const former = new SampleFleet(0).addMinion(minion.id, change);
    failTwice(former, 0);
    const snapshot = describeDistrust(former, at(TAKEOVER_MS));
    assert.ok(snapshot);
    receiveDistrust(this.sample.fleet, minion, snapshot, at(TAKEOVER_MS));
    return minion;
  }

  add(name: string, change: Partial<MinionDescription> = {}): MinionState {
    return this.sample.addMinion(name, change);
  }

  /** Returns the minions that are not trusted once `minion` has reported. */
  review(minion: MinionState, now = at(TAKEOVER_MS)): readonly string[] {
    reviewFormerDistrust(this.sample.fleet, minion, now);
    return [...this.sample.fleet.minions.values()]
      .filter(({trust}) => trust.level(now) !== 'trusted')
      .map(({id}) => id);
  }
}

describe('Distrust that a former owner passed on', () => {
  it('is kept where at least half of the minions are trusted', () => {
    const owner = new NextOwner();
    const bad = owner.addBad('1');
    owner.addBad('2');
    owner.add('good-1');
    owner.add('good-2');
    assert.deepEqual(owner.review(bad), ['bad-1', 'bad-2']);
  });

  it('ends on all minions together where most are not trusted', () => {
    const owner = new NextOwner();
    const bad = owner.addBad('1');
    owner.addBad('2');
    owner.addBad('3');
    owner.add('good');
    assert.deepEqual(owner.review(bad), []);
    const ends = owner.events.events.filter(({fields}) => fields.proof === 'others');
    assert.deepEqual(
      ends.map(({fields}) => fields.minion),
      ['bad-1', 'bad-2', 'bad-3'],
    );
  });

  it('ends once most have failed under the new owner, which trusts none of these for that', () => {
    const owner = new NextOwner();
    const bad = owner.addBad('1');
    const others = [owner.add('good-1'), owner.add('good-2')];
    assert.deepEqual(owner.review(bad), ['bad-1']);
    for (const other of others) {
      failTwice(other, TAKEOVER_MS);
    }
    assert.deepEqual(owner.review(bad), ['good-1', 'good-2']);
  });

  it('is not ended by a minion that has failed under the new owner as well', () => {
    const owner = new NextOwner();
    const bad = owner.addBad('1');
    failTwice(bad, TAKEOVER_MS);
    assert.deepEqual(owner.review(bad), ['bad-1']);
  });

  for (const {change, name} of [
    {change: {service: brand<ServiceId>('other')}, name: 'of another service'},
    {change: {labels: ['r1']}, name: 'without its labels'},
    {change: {isDraining: true}, name: 'that drain'},
  ]) {
    it(`ends where others are trusted only ${name}`, () => {
      const owner = new NextOwner();
      const bad = owner.addBad('1');
      owner.add('good-1', change);
      owner.add('good-2', change);
      assert.deepEqual(owner.review(bad), []);
    });
  }

  it('ends where the others do not respond', () => {
    const owner = new NextOwner();
    const bad = owner.addBad('1');
    owner.add('good').missedCalls = 1;
    assert.deepEqual(owner.review(bad), []);
  });
});
