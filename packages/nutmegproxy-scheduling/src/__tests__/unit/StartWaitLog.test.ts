import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {at, queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

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

  describe('an interrupted task that no minion fits', () => {
    /** Returns what the line says of the processors in one piece, with `lasting` of four cores in use for long. */
    function playWait(lasting: number): Record<string, unknown> {
      const events = new RecordedEvents();
      const sample = new SampleFleet(4, [queue('proofs')], events);
      const resources = {cpuMilli: 3_000, gpus: 0, memoryMb: 100};
      sample.addJob('proofs', [shape({longRunning: true, resources})]);
      const [first] = sample.plan(0);
      assert.ok(first);
      sample.fleet.minions.delete(first.minion);
      sample.fleet.recordLostRun(first, 'minion gone');
      const {status} = first.step.job;
      first.step.job.status = 'cancelled';
      sample.addJob('proofs', [
        shape({count: 3 * lasting, longRunning: true, maxPerMinion: lasting}),
      ]);
      sample.plan(1);
      sample.addJob('proofs', [shape({count: 3 * (4 - lasting)})]);
      sample.plan(2);
      const short = [...sample.fleet.minions.values()]
        .flatMap(({runs}) => [...runs])
        .find(({step}) => !step.shape.longRunning);
      assert.ok(short);
      sample.fleet.finishRun(short, 'done', undefined, at(2_000));
      first.step.job.status = status;
      sample.plan(2_000);
      const line = events.events.findLast(
        ({kind}) => kind === SCHEDULING_EVENTS.LONG_RUNNING_JOB_WAITING,
      );
      const {largestFreeMilli, largestLeftMilli, reason, taskMilli} = line?.fields ?? {};
      return {largestFreeMilli, largestLeftMilli, reason, taskMilli};
    }

    it('is logged with the largest piece, which short work makes too small', () => {
      assert.deepEqual(playWait(1), {
        largestFreeMilli: 1_000,
        largestLeftMilli: 3_000,
        reason: 'no-minion',
        taskMilli: 3_000,
      });
    });

    it('is logged with the largest piece, which lasting tasks alone make too small', () => {
      assert.deepEqual(playWait(2), {
        largestFreeMilli: 1_000,
        largestLeftMilli: 2_000,
        reason: 'no-minion',
        taskMilli: 3_000,
      });
    });
  });
});
