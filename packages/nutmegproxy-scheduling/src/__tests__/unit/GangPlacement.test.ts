import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RecordedEvents, SampleFleet, shape} from './Samples.ts';

const GANG = shape({count: 5, gang: true, maxPerMinion: 4});

describe('A gang that does not fit', () => {
  it('still counts as waiting and is not logged as placed', () => {
    const events = new RecordedEvents();
    const sample = new SampleFleet(1, undefined, events);
    const job = sample.addJob('proofs', [GANG]);
    assert.equal(sample.plan(0).length, 0);
    assert.equal(job.hasStarted, false);
    assert.equal(job.status, 'queued');
    assert.equal(sample.fleet.dirtyJobs.size, 0);
    assert.deepEqual(events.events, []);
  });

  it('reserves nothing, and its tasks count as never run', () => {
    const sample = new SampleFleet(1);
    const job = sample.addJob('proofs', [GANG]);
    sample.plan(0);
    const [minion] = [...sample.fleet.minions.values()];
    const [step] = job.steps();
    assert.ok(minion && step);
    assert.equal(minion.reserved.cpuMilli, 0);
    assert.equal(minion.runs.size, 0);
    assert.equal(step.countRunsOn(minion.id), 0);
    assert.equal(step.hasRun(0), false);
  });

  it('uses no run numbers, also in more attempts than a term has numbers', () => {
    const sample = new SampleFleet(1);
    sample.addJob('proofs', [GANG]);
    sample.fleet.runNumberBase = 1_001;
    for (let attempt = 0; attempt < 1_500; attempt += 1) {
      assert.equal(sample.plan(attempt).length, 0);
    }
    sample.addMinion('m2');
    const numbers = new Set(sample.plan(2_000).map(({number}) => number));
    assert.deepEqual([...numbers], [1_001]);
  });
});
