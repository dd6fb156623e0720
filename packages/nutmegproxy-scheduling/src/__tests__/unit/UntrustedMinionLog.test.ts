import type {EventFields} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {UntrustedMinionLog} from '../../UntrustedMinionLog.ts';
import {at, queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

describe('UntrustedMinionLog', () => {
  let events: RecordedEvents;
  let log: UntrustedMinionLog;
  let minion: MinionState;
  let sample: SampleFleet;

  beforeEach(() => {
    events = new RecordedEvents();
    log = new UntrustedMinionLog();
    sample = new SampleFleet(0, [queue('proofs')], events);
    minion = sample.addMinion('m1');
  });

  /** Reviews the minions in a period, every 500 ms; returns all lines so far. */
  function review(fromMs: number, untilMs: number): EventFields[] {
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 500) {
      log.review(sample.fleet, at(nowMs));
    }
    return events.events
      .filter(({kind}) => kind === SCHEDULING_EVENTS.MINION_UNTRUSTED)
      .map(({fields}) => fields);
  }

  it('logs nothing of minions that are trusted', () => {
    assert.deepEqual(review(0, 60_000), []);
  });

  it('names a minion that is not trusted for 15 s, with its level and what it runs', () => {
    const steps = [shape(), shape({count: 2, longRunning: true})];
    const job = sample.addJob('proofs', steps);
    sample.plan(0);
    minion.trust.recordStall(at(0));
    assert.deepEqual(review(0, 14_500), []);
    const fields = {level: 'trial', minion: 'm1', servingRuns: 2};
    const named = `${job.id}.0.1.0/1 ${job.id}.0.1.1/1 ${job.id}.0.0.0/1`;
    const first = {...fields, named, passedOver: undefined, runs: 3, untrustedMs: 15_000};
    assert.deepEqual(review(15_000, 15_000), [first]);
    const trial = sample.addJob('proofs', [shape()]);
    sample.plan(20_000);
    const later = {
      ...fields,
      named: `${named} ${trial.id}.0.0.0/1`,
      passedOver: 'trial',
      runs: 4,
      untrustedMs: 25_000,
    };
    assert.deepEqual(review(20_000, 25_000), [first, later]);
  });

  it('counts anew once the minion was trusted', () => {
    minion.trust.recordStall(at(0));
    review(0, 14_000);
    minion.trust.recordSuccess(at(14_000));
    review(14_500, 14_500);
    minion.trust.recordStall(at(15_000));
    assert.deepEqual(review(15_000, 29_500), []);
  });

  describe('of many minions that are never trusted', () => {
    it('repeats a line every 10 s and names no more than ten minions at once', () => {
      minion.trust.recordStall(at(0));
      assert.equal(review(0, 44_500).length, 3);
      for (let number = 2; number <= 30; number += 1) {
        sample.addMinion(`m${number}`).trust.recordStall(at(0));
      }
      const before = review(45_000, 59_500).length;
      assert.equal(review(60_000, 60_000).length - before, 10);
    });
  });

  it('names no more than five runs', () => {
    sample.addJob('proofs', [
      shape({count: 8, resources: {cpuMilli: 500, gpus: 0, memoryMb: 100}}),
    ]);
    sample.plan(0);
    minion.trust.recordStall(at(0));
    const [{named, runs} = {}] = review(0, 15_000);
    assert.deepEqual({named: String(named).split(' ').length, runs}, {named: 5, runs: 8});
  });
});
