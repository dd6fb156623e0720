import type {Instant} from '@nutmegproxy/core';
import type {Checkpoint, Run, RunNumber, RunOutcome, StepState} from '@nutmegproxy/jobs';
import type {MinionState, RunResult} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {listPossibleRuns} from '../../SilentRecords.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const JOB = 1;
const TASK = '0000000000000001.0.0.0';
const NOW = 0 as Instant;

describe('listPossibleRuns', () => {
  let fleet: Fleet;
  let minion: MinionState;

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
  });

  /** Runs the first task of a step to its end, and lists what is named while the result is not stored. */
  function listAfterRun(
    step: StepState,
    outcome: RunOutcome,
    change: () => void = () => undefined,
    checkpoint?: Checkpoint,
  ): unknown {
    fleet.jobs.set(step.job.id, step.job);
    const run = fleet.startRun(step, 0, minion, NOW);
    fleet.finishRun(run, outcome, checkpoint, NOW);
    change();
    const {number, task} = run;
    const result: RunResult = {checkpoint, number, outcome, sequence: 1, task};
    return listPossibleRuns(fleet, minion, [result]);
  }

  describe('of a minion with a result that is not stored', () => {
    for (const outcome of ['done', 'failed', 'lapsed', 'stopped'] as const) {
      it(`names a task that does not last and is ${outcome}`, () => {
        assert.deepEqual(listAfterRun(createStep(JOB), outcome), [[TASK, 1]]);
      });
    }

    for (const outcome of ['failed', 'lapsed', 'stopped'] as const) {
      it(`does not name a lasting task that is ${outcome}`, () => {
        assert.deepEqual(listAfterRun(createStep(JOB, {longRunning: true}), outcome), []);
      });
    }

    it('names a lasting task whose checkpoint only the minion has', () => {
      const step = createStep(JOB, {checkpoints: true, longRunning: true});
      const listed = listAfterRun(step, 'stopped', undefined, 'at 40' as Checkpoint);
      assert.deepEqual(listed, [[TASK, 1]]);
    });

    it('does not name a lasting task that has saved no checkpoint', () => {
      const step = createStep(JOB, {checkpoints: true, longRunning: true});
      assert.deepEqual(listAfterRun(step, 'stopped'), []);
    });

    it('names a lasting task that is done, since it does not start again', () => {
      assert.deepEqual(listAfterRun(createStep(JOB, {longRunning: true}), 'done'), [[TASK, 1]]);
    });

    it('names a member of a lasting gang that another member has completed', () => {
      const step = createStep(JOB, {count: 2, gang: true, longRunning: true});
      const complete = (): void => {
        fleet.finishRun(fleet.startRun(step, 1, minion, NOW), 'done', undefined, NOW);
      };
      assert.deepEqual(listAfterRun(step, 'stopped', complete), [[TASK, 1]]);
    });

    it('names a lasting task of a job that is over', () => {
      const step = createStep(JOB, {longRunning: true});
      const fail = (): void => {
        fleet.finishJob(step.job, 'failed');
      };
      assert.deepEqual(listAfterRun(step, 'failed', fail), [[TASK, 1]]);
    });

    it('names the task of a job that it does not know', () => {
      const step = createStep(JOB, {longRunning: true});
      const forget = (): void => {
        fleet.jobs.delete(step.job.id);
      };
      assert.deepEqual(listAfterRun(step, 'failed', forget), [[TASK, 1]]);
    });

    it('names a later run of a lasting task that may be live', () => {
      const step = createStep(JOB, {longRunning: true});
      const startAgain = (): void => {
        fleet.startRun(step, 0, minion, NOW);
      };
      assert.deepEqual(listAfterRun(step, 'stopped', startAgain), [[TASK, 2]]);
    });
  });

  describe('of a minion whose lease has expired', () => {
    /** Lists what is named after the lease of a run has expired. */
    function listAfterLease(
      step: StepState,
      change: (run: Run) => void = () => undefined,
    ): unknown {
      fleet.jobs.set(step.job.id, step.job);
      const run = fleet.startRun(step, 0, minion, NOW);
      fleet.expireLease(minion);
      change(run);
      return listPossibleRuns(fleet, minion, []);
    }

    it('names a task that does not last, since the run may have failed', () => {
      assert.deepEqual(listAfterLease(createStep(JOB)), [[TASK, 1]]);
    });

    it('names a task once whose run it has listed again', () => {
      const listed = listAfterLease(createStep(JOB), ({number, step, task}) => {
        fleet.adoptRun(step, task, number, minion, NOW);
      });
      assert.deepEqual(listed, [[TASK, 1]]);
    });

    it('does not name a task once its results are known', () => {
      const listed = listAfterLease(createStep(JOB), () => {
        fleet.clearUnknownResults(minion);
      });
      assert.deepEqual(listed, []);
    });

    it('does not name a run of another minion', () => {
      const other = createMinion('m2');
      const step = createStep(JOB);
      fleet.recordUnknownResult(step, 0, 7 as RunNumber, other);
      assert.deepEqual(listAfterLease(step), [[TASK, 1]]);
    });

    it('does not name a task that is done', () => {
      const step = createStep(JOB, {count: 2});
      assert.deepEqual(
        listAfterLease(step, () => step.markDone(0)),
        [],
      );
    });

    it('does not name the task of a job that is over', () => {
      const listed = listAfterLease(createStep(JOB), ({step}) => {
        fleet.finishJob(step.job, 'failed');
      });
      assert.deepEqual(listed, []);
    });

    it('does not name a lasting task', () => {
      assert.deepEqual(listAfterLease(createStep(JOB, {longRunning: true})), []);
    });
  });
});
