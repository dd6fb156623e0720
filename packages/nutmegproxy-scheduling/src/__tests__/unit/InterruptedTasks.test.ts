/** Interrupted lasting tasks use the room of sound minions that are not trusted, when no other minion has any. */

import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';
import type {EndOfRun} from './ExclusionSamples.ts';

import {failTwice, findMinion, LASTING, play} from './ExclusionSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

/** Time in milliseconds for which a task may wait while a sound minion has room for it. */
const MAX_WAIT_MS = 3_000;
/** Time in milliseconds after which work is as likely to fail on a minion as before. */
const MIN_BETWEEN_FAILURES_MS = 2_000;
const FAILED_AT = 200;
const UNTIL = 24_000;

describe('A lasting task that was interrupted', () => {
  let jobs: JobState[];
  let minion: MinionState;
  let sample: SampleFleet;

  /** Interrupts the tasks of two lasting jobs on a minion of which runs have failed; no other one has room. */
  beforeEach(() => {
    sample = new SampleFleet(1);
    minion = findMinion(sample);
    jobs = [1, 2].map(() => sample.addJob('proofs', [LASTING]));
    play(sample, 0, 0);
    sample.addMinion('full', {capacity: {cpuMilli: 500, gpus: 0, memoryMb: 8_000}});
    for (const run of [...minion.runs]) {
      sample.fleet.finishRun(run, 'stopped', undefined, at(FAILED_AT));
    }
    failTwice(minion, FAILED_AT);
  });

  function listStarts(end?: EndOfRun): (readonly number[])[] {
    const starts = play(sample, FAILED_AT, UNTIL, end);
    return jobs.map((job) => starts.get(job) ?? []);
  }

  it('starts within 3 s on a sound minion beside the run that shows whether it is sound', () => {
    for (const [first = Infinity] of listStarts()) {
      assert.ok(first <= FAILED_AT + MAX_WAIT_MS, `started at ${first}`);
    }
  });

  it('starts within 3 s of the failure of another run in the trial of a sound minion', () => {
    const faulty = sample.addJob('proofs', [shape()], -60_000);
    const starts = play(sample, FAILED_AT, 3_000, ({step}) =>
      step.job === faulty || jobs.includes(step.job) ? 'failed' : undefined,
    );
    const failedAt = Math.max(...[...starts.values()].flat()) + 100;
    const other = sample.addJob('proofs', [LASTING], 0, 'running');
    const [first = Infinity] = play(sample, failedAt, UNTIL).get(other) ?? [];
    assert.ok(first <= failedAt + MAX_WAIT_MS, `failed at ${failedAt}, started at ${first}`);
  });

  it('starts at most once in 8 s on a minion that stays bad', () => {
    for (const starts of listStarts(() => 'failed')) {
      assert.ok(starts.length > 0 && starts.length <= UNTIL / 8_000 + 1, starts.join(' '));
    }
  });

  it('does not start on a minion right after runs have failed there', () => {
    const starts = listStarts(() => 'failed').flat();
    for (const startedAt of starts) {
      const formerAt = Math.max(FAILED_AT, ...starts.filter((each) => each < startedAt));
      assert.ok(startedAt - formerAt >= MIN_BETWEEN_FAILURES_MS, starts.join(' '));
    }
  });

  it('does not start on a minion that drains, whose runs have failed besides', () => {
    minion.description = {...minion.description, isDraining: true};
    assert.deepEqual(listStarts().flat(), []);
  });

  it('leaves the trial of a minion to others, where another minion has room', () => {
    const other = sample.addMinion('other');
    listStarts();
    assert.equal(other.runs.size, 2);
  });
});

describe('A lasting task that has not run before', () => {
  it('does not start on a minion beside the run that shows whether it is sound', () => {
    const sample = new SampleFleet(1);
    failTwice(findMinion(sample), 0);
    const jobs = [1, 2].map(() => sample.addJob('proofs', [LASTING]));
    const starts = play(sample, 0, MAX_WAIT_MS);
    assert.deepEqual(
      jobs.filter((job) => starts.has(job)).length,
      1,
      'the minion got other work in its trial',
    );
  });
});
