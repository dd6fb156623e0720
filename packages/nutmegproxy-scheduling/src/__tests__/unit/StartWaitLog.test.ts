import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

describe('StartWaitLog', () => {
  describe('a long-running job that the limit holds back', () => {
    const events = new RecordedEvents();
    const sample = new SampleFleet(10, [queue('proofs')], events);
    const listLines = (): (typeof events.events)[number][] =>
      events.events.filter(({kind}) => kind === SCHEDULING_EVENTS.LONG_RUNNING_JOB_WAITING);
    sample.addJob('proofs', [shape({count: 33, longRunning: true})]);
    sample.plan(0);
    const wide = sample.addJob('proofs', [shape({count: 8, longRunning: true})]);
    sample.plan(0);

    it('is logged with its cause and size', () => {
      assert.equal(listLines().length, 0);
      sample.plan(1_000);
      const {capacityCores, job, limitCores, reason, tasks} = listLines()[0]?.fields ?? {};
      assert.deepEqual(
        {capacityCores, job, limitCores, reason, tasks},
        {capacityCores: 40, job: wide.id, limitCores: 34, reason: 'limit', tasks: 8},
      );
    });

    it('is logged at most every 5 s', () => {
      for (let now = 1_100; now < 11_000; now += 100) {
        sample.plan(now);
      }
      assert.equal(listLines().length, 2);
      sample.plan(11_000);
      assert.equal(listLines().length, 3);
    });
  });
});
