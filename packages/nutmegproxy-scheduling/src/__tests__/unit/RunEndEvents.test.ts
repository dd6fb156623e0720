import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {at, queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

describe('The line of a run that has ended', () => {
  it('bounds how long the task has stood still on its minion', () => {
    const events = new RecordedEvents();
    const sample = new SampleFleet(1, [queue('digests')], events);
    sample.addJob('digests', [shape()]);
    const [run] = sample.plan(0);
    assert.ok(run);
    run.sentAt = at(200);
    run.confirmedAt = at(650);
    const minion = sample.fleet.minions.get(run.minion);
    assert.ok(minion);
    minion.lastAnswerAt = at(900);
    sample.fleet.finishRun(run, 'done', undefined, at(2_300));
    const line = events.events.find(({kind}) => kind === SCHEDULING_EVENTS.RUN_ENDED);
    const {confirmMs, ms, reportAgeMs} = line?.fields ?? {};
    assert.deepEqual({confirmMs, ms, reportAgeMs}, {confirmMs: 450, ms: 2_100, reportAgeMs: 1_400});
  });
});
