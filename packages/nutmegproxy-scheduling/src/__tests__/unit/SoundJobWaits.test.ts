/** A job that has never failed itself is not withheld beside free room either, whatever other jobs do to the minions. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {DrawnJob} from './WaitSamples.ts';

import {StartPermissions} from '../../StartPermissions.ts';
import {failTwice, findMinion} from './ExclusionSamples.ts';
import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';
import {measureWaits} from './WaitPlay.ts';
import {FAILING_LASTING} from './WaitSamples.ts';

/** Time for which nothing of a job runs beside free room until it is lost, as the users specify. */
const LOST_MS = 3_000;
const PLAY_MS = 60_000;
/** Later than the bound that counts from the turn of a step. */
const LATE_MS = 20_000;
/** Time without a run after which a job goes to minions that are not trusted. */
const IDLE_MS = 2_000;

/** Returns how long the job is without a run beside lasting jobs that fail in each trial. */
function measureLate(
  rivals: number,
  job: Pick<DrawnJob, 'acceptedAtMs' | 'change' | 'runMs'>,
): number {
  const sound: DrawnJob = {...job, attempts: 4, failsAfterMs: undefined};
  const jobs = [...Array.from({length: rivals}, () => FAILING_LASTING), sound];
  const waits = measureWaits({faults: [], jobs, minions: 4, takeovers: []}, PLAY_MS);
  return waits.find(({job: number}) => number === rivals)?.lateMs ?? 0;
}

describe('A job of many tasks that fails nowhere', () => {
  for (const [kind, change] of Object.entries({
    backfill: {count: 60, fillsSpareCpu: true},
    'ordinary work': {count: 60},
  })) {
    // Guards against waits for trust that begin anew with each start or end of a task.
    it(`is not without a run until it is lost beside lasting jobs that fail (${kind})`, () => {
      const late: string[] = [];
      for (let runMs = 300; runMs <= 2_700; runMs += 400) {
        for (const rivals of [2, 3, 4, 6]) {
          for (const acceptedAtMs of [400, 1_500, 3_100]) {
            const lateMs = measureLate(rivals, {acceptedAtMs, change, runMs});
            if (lateMs >= LOST_MS) {
              late.push(`${rivals} rivals, ${runMs} ms, from ${acceptedAtMs} ms: ${lateMs} ms`);
            }
          }
        }
      }
      assert.deepEqual(late, []);
    });
  }
});

/** Returns the minions of the first starts of a job that has run nothing for 2 s, late after the turn of its step. */
function listStarts(change: DrawnJob['change'], trusted: 0 | 1): readonly string[] {
  const sample = new SampleFleet(2, [queue('proofs')]);
  sample.plan(0);
  const job = sample.addJob('proofs', [shape({count: 3, ...change})]);
  const [step] = [...job.openOccurrences(wallAt(0))].flat();
  assert.ok(step);
  step.readyAt = at(0);
  step.placedAt = at(LATE_MS - IDLE_MS);
  step.doneAt = at(LATE_MS - IDLE_MS);
  for (const minion of [...sample.fleet.minions.values()].slice(trusted)) {
    failTwice(minion, LATE_MS - 100);
  }
  return sample.plan(LATE_MS).map(({minion}) => minion);
}

describe('A task that has never failed', () => {
  it('may use any minion that is not trusted in the pass for idle steps', () => {
    const sample = new SampleFleet(2, [queue('proofs')]);
    const job = sample.addJob('proofs', [shape({count: 5, fillsSpareCpu: true})]);
    const [step] = [...job.openOccurrences(wallAt(0))].flat();
    assert.ok(step);
    const minion = findMinion(sample);
    failTwice(minion, 0);
    const advice = {isPermitted: () => undefined};
    const permissions = new StartPermissions(sample.fleet, {advice, now: at(100)});
    permissions.passesTrust = 'other';
    assert.ok(permissions.isAllowed(step, 0, minion));
  });

  for (const [kind, change] of Object.entries({
    backfill: {fillsSpareCpu: true},
    'ordinary work': {},
  })) {
    it(`starts once where no minion is trusted, when nothing of its job has run for 2 s (${kind})`, () => {
      assert.equal(listStarts(change, 0).length, 1);
    });

    it(`spares minions that are not trusted while another one has room (${kind})`, () => {
      assert.deepEqual([...new Set(listStarts(change, 1))], ['m1']);
    });
  }
});

describe('A later step of a job that has never failed', () => {
  // Guards against waits for trust that begin anew with each step.
  it('starts where no minion is trusted, when nothing of its job has run for 2 s', () => {
    const sample = new SampleFleet(2, [queue('proofs')]);
    sample.plan(0);
    const job = sample.addJob('proofs', [shape(), shape({after: [0]})]);
    const [first, second] = [...job.openOccurrences(wallAt(0))].flat();
    assert.ok(first && second);
    first.readyAt = at(0);
    first.markDone(0);
    first.doneAt = at(LATE_MS - IDLE_MS);
    second.readyAt = at(LATE_MS - IDLE_MS);
    for (const minion of sample.fleet.minions.values()) {
      failTwice(minion, LATE_MS - 100);
    }
    assert.equal(sample.plan(LATE_MS).length, 1);
  });
});
