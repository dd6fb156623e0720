/** A rule that withholds a task beside free room gives way in time. */

import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {DrawnJob, DrawnPlay} from './WaitSamples.ts';

import {measureWaits} from './WaitPlay.ts';
import {FAILING_LASTING} from './WaitSamples.ts';

/** Time after the traffic from which each job with free room has to run something, as the users specify. */
const FINISH_MS = 14_000;
/** Time for which nothing of a job runs after that until it is lost, as the users specify. */
const IDLE_MS = 3_000;
/** The same for a lasting task, from its last run. */
const LASTING_IDLE_MS = 9_000;
const PLAY_MS = 60_000;
const LAST_FAULT_MS = 20_000;

const time = (maxMs: number): fc.Arbitrary<number> =>
  fc.integer({max: maxMs / 100, min: 0}).map((tenths) => tenths * 100);

const KINDS = fc.constantFrom<DrawnJob['change']>(
  {},
  {count: 3},
  {count: 2, longRunning: true},
  {count: 2, gang: true, maxPerMinion: 1},
  {count: 3, gang: true},
  {requiredLabel: 'few'},
  {count: 2, maxPerMinion: 1, requiredLabel: 'few'},
  {fillsSpareCpu: true},
);

const JOB: fc.Arbitrary<DrawnJob> = fc.record({
  acceptedAtMs: time(LAST_FAULT_MS),
  attempts: fc.constantFrom(2, 3, 4),
  change: KINDS,
  failsAfterMs: fc.option(time(4_000), {nil: undefined}),
  runMs: time(9_900).map((ms) => ms + 100),
});

const PLAY: fc.Arbitrary<DrawnPlay> = fc.record({
  faults: fc.array(
    fc.record({
      atMs: time(LAST_FAULT_MS),
      durationMs: time(10_000),
      failsAfterMs: fc.option(time(2_000), {nil: undefined}),
      minion: fc.integer({max: 3, min: 0}),
    }),
    {maxLength: 6},
  ),
  jobs: fc
    .array(JOB, {maxLength: 14, minLength: 1})
    .map((jobs) => jobs.toSorted((a, b) => a.acceptedAtMs - b.acceptedAtMs)),
  minions: fc.integer({max: 5, min: 2}),
  takeovers: fc.uniqueArray(fc.record({atMs: time(LAST_FAULT_MS), recoveryMs: time(5_000)}), {
    maxLength: 2,
    selector: ({atMs}) => atMs,
  }),
});

describe('A job with free room', () => {
  for (const [kind, job] of Object.entries({
    'a gang': {change: {count: 2, gang: true, maxPerMinion: 1}, failsAfterMs: undefined},
    'a job that fails': {change: {}, failsAfterMs: 100},
  })) {
    // Guards against jobs that wait for ever as each trial goes to a lasting task that fails.
    it(`runs although lasting tasks fail in each trial of all minions (${kind})`, () => {
      const waiting: DrawnJob = {acceptedAtMs: 400, attempts: 4, runMs: 100, ...job};
      const jobs = [FAILING_LASTING, FAILING_LASTING, waiting];
      const waits = measureWaits({faults: [], jobs, minions: 4, takeovers: []}, PLAY_MS);
      const waitedMs = waits.find(({job: number}) => number === 2)?.waitedMs ?? 0;
      assert.ok(waitedMs <= FINISH_MS, `${waitedMs} ms`);
    });
  }

  it('does not wait without a run until it is lost, whatever failed before', () => {
    fc.assert(
      fc.property(PLAY, (play) => {
        const late = measureWaits(play, PLAY_MS).filter(({waitedMs}) => waitedMs > FINISH_MS);
        assert.deepEqual(late, []);
      }),
      {numRuns: 300, seed: 70},
    );
  });

  // Guards against waits that begin anew with each failure of the task itself.
  it('is not without a run later on either, however often it fails itself', () => {
    fc.assert(
      fc.property(PLAY, (play) => {
        const late = measureWaits(play, PLAY_MS).filter(({job, lateMs}) => {
          const isLasting = play.jobs[job]?.change.longRunning === true;
          return lateMs >= (isLasting ? LASTING_IDLE_MS : IDLE_MS);
        });
        assert.deepEqual(late, []);
      }),
      {endOnFailure: true, numRuns: 300, seed: 71},
    );
  });
});
