import type {MinionId} from '@nutmegproxy/core';
import type {Run, StepShape, StepState} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';
import type {PendingCause, PendingContext} from '../../PendingTaskReason.ts';

import {computeWaitedMs} from '../../CrashVerdict.ts';
import {findRunCause, PendingTaskJudge} from '../../PendingTaskReason.ts';
import {crashOf, startOn} from './CrashSamples.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';

const NOW = at(5_000);
const ADVICE = {callMs: 100, perMinionMs: 10, validMs: 5_000};
const FULL = {cpuMilli: 4_000, gpus: 0, memoryMb: 100};

describe('PendingTaskJudge', () => {
  let minion: MinionState;
  let sample: SampleFleet;

  beforeEach(() => {
    sample = new SampleFleet(0, [
      queue('proofs'),
      queue('advised', {advice: ADVICE}),
      queue('later', {priority: 1}),
    ]);
    minion = sample.addMinion('m1');
  });

  function addStep(change: Partial<StepShape> = {}, queueId = 'proofs'): StepState {
    const step = sample.addReadyJob(queueId, shape(change), 0).occurrence(0)?.[0];
    assert.ok(step);
    return step;
  }

  function findCause(step: StepState, change: Partial<PendingContext> = {}): PendingCause {
    return new PendingTaskJudge({
      advice: {isPermitted: () => undefined},
      fleet: sample.fleet,
      hold: undefined,
      isBudgetUsedUp: false,
      isCut: false,
      now: NOW,
      recoveryMs: 4_000,
      sharingCosts: NO_SHARING_COSTS,
      ...change,
    }).findCause({index: 0, step});
  }

  /** Records that runs of the task have failed. */
  function fail(step: StepState, ...numbers: number[]): void {
    step.failures.set(0, numbers as Run['number'][]);
  }

  /** Lets runs of two jobs fail on the minion, so that it is quarantined. */
  function quarantine(atMs: number): void {
    for (const {job} of [addStep(), addStep()]) {
      minion.trust.recordFailure(job.id, at(atMs));
    }
  }

  describe('rules of the task', () => {
    it('names the recovery and until when, whatever else withholds the task', () => {
      const step = addStep();
      fail(step, 1);
      minion.trust.recordFailure(step.job.id, NOW);
      sample.fleet.recoveryRevision = step.job.revision;
      assert.deepEqual(findCause(step), {reason: 'recovery', untilMs: 4_000});
    });

    it('names the minion on which a run has ended whose result is not known', () => {
      const step = addStep();
      fail(step, 1);
      sample.fleet.recordUnknownResult(step, 0, 2 as Run['number'], minion);
      assert.deepEqual(findCause(step), {minion: 'm1', reason: 'unknown-result'});
    });

    it('says no unknown result while attempts are left beside it', () => {
      const step = addStep();
      sample.fleet.recordUnknownResult(step, 0, 2 as Run['number'], minion);
      assert.deepEqual(findCause(step), {reason: 'placement'});
    });

    it('names the suspicion against a task of its job', () => {
      const step = addStep({count: 2});
      const other = sample.addMinion('m2');
      step.crashes.record(1, crashOf(minion, 300, 1), at(4_900));
      step.crashes.record(1, crashOf(other, 300, 2), at(4_900));
      // The trial waits for a minion without runs.
      for (const each of [minion, other]) {
        startOn(sample, addStep().job, each, 4_950);
      }
      assert.deepEqual(sample.plan(NOW), []);
      assert.deepEqual(findCause(step), {reason: 'suspicion'});
    });

    it('says until when the suspicion against the task itself may last', () => {
      const step = addStep();
      const other = sample.addMinion('m2');
      step.crashes.record(0, crashOf(minion, 300, 1), at(4_900));
      step.crashes.record(0, crashOf(other, 300, 2), at(4_900));
      for (const each of [minion, other]) {
        startOn(sample, addStep().job, each, 4_950);
      }
      assert.deepEqual(sample.plan(NOW), []);
      assert.deepEqual(findCause(step), {reason: 'suspicion', untilMs: 9_900});
      assert.deepEqual(findCause(step, {hold: 'backlog'}), {reason: 'suspicion'});
    });

    it('names a run of its gang that is not over', () => {
      const step = addStep({count: 2, gang: true});
      const run = startOn(sample, step.job, minion, 0, 1);
      sample.fleet.stopRun(run, 'gang-broken');
      assert.deepEqual(findCause(step), {minion: 'm1', reason: 'gang'});
    });
  });

  describe('rules for minions', () => {
    it('says that no minion has room', () => {
      startOn(sample, addStep({resources: FULL}).job, minion, 0);
      assert.deepEqual(findCause(addStep()), {reason: 'room'});
    });

    it('says that backfill finds no unused processors', () => {
      startOn(sample, addStep({resources: FULL}).job, minion, 0);
      assert.deepEqual(findCause(addStep({fillsSpareCpu: true})), {reason: 'room'});
    });

    it('names a minion with room that gets no new work', () => {
      minion.hasReported = false;
      assert.deepEqual(findCause(addStep()), {minion: 'm1', reason: 'availability'});
    });

    it('names the reason of the minion that meets most rules', () => {
      startOn(sample, addStep({resources: FULL}).job, minion, 0);
      sample.addMinion('m2').hasReported = false;
      const full = sample.addMinion('m3');
      startOn(sample, addStep({resources: FULL}).job, full, 0);
      assert.deepEqual(findCause(addStep()), {minion: 'm2', reason: 'availability'});
    });

    it('names a minion with room that is quarantined, and one whose trial is not over', () => {
      quarantine(4_000);
      const expected = {minion: 'm1', reason: 'trust'};
      assert.deepEqual(findCause(addStep()), {...expected, untilMs: 8_500});
      startOn(sample, addStep().job, minion, 6_500);
      const later = findCause(addStep(), {now: at(7_000)});
      assert.deepEqual(later, {...expected, untilMs: 6_500});
    });

    it('says that the advisor permits no minion or has not answered', () => {
      const step = addStep({}, 'advised');
      assert.deepEqual(findCause(step), {reason: 'advice'});
      assert.deepEqual(findCause(step, {advice: {isPermitted: () => false}}), {reason: 'advice'});
      const permitted = findCause(step, {advice: {isPermitted: () => true}});
      assert.deepEqual(permitted, {reason: 'placement'});
    });

    it('says that the task has stalled on the only minion a short time ago', () => {
      const step = addStep();
      step.avoid(0, minion.id, at(4_000));
      assert.deepEqual(findCause(step), {minion: 'm1', reason: 'avoidance', untilMs: 3_000});
    });

    it('says for how long the last attempt is saved for a better minion', () => {
      const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: 1};
      startOn(sample, addStep({resources}).job, sample.addMinion('m2'), 0);
      const step = addStep();
      fail(step, 1);
      step.failedAt.set(0, at(3_000));
      minion.trust.recordFailure(step.job.id, at(3_000));
      const expected = {minion: 'm1', reason: 'last-attempt', untilMs: 10_000};
      assert.deepEqual(findCause(step), expected);
    });

    it('says for how long it is saved where no other minion can run the task', () => {
      const step = addStep();
      fail(step, 1);
      step.failedAt.set(0, at(4_000));
      minion.trust.recordFailure(step.job.id, at(4_000));
      const expected = {minion: 'm1', reason: 'last-attempt', untilMs: 1_000};
      assert.deepEqual(findCause(step), expected);
    });

    it('names the suspicion against a task that waits for a minion without other suspects', () => {
      const other = sample.addMinion('m2');
      const [step, ...rest] = [addStep(), addStep(), addStep()];
      for (const each of [step, ...rest]) {
        each.crashes.record(0, crashOf(minion, 900, 1), at(4_900));
        each.crashes.record(0, crashOf(other, 900, 2), at(4_900));
      }
      for (const [order, each] of rest.entries()) {
        startOn(sample, each.job, order === 0 ? minion : other, 4_950);
      }
      assert.deepEqual(findCause(step), {reason: 'suspicion', untilMs: 9_900});
    });

    it('says that backfill would disturb serving tasks', () => {
      const sharingCosts = {...NO_SHARING_COSTS, backfillCost: () => undefined};
      const cause = findCause(addStep({fillsSpareCpu: true}), {sharingCosts});
      assert.deepEqual(cause, {reason: 'sharing', untilMs: 8_500});
    });

    it('says no time for a preference where half of the room is in use', () => {
      const half = {cpuMilli: 2_000, gpus: 0, memoryMb: 100};
      startOn(sample, addStep({resources: half}).job, minion, 0);
      const sharingCosts = {...NO_SHARING_COSTS, backfillCost: () => undefined};
      const cause = findCause(addStep({fillsSpareCpu: true}), {sharingCosts});
      assert.deepEqual(cause, {reason: 'sharing'});
    });
  });

  describe('rules of the round', () => {
    it('says that the view of the directory is too old', () => {
      assert.deepEqual(findCause(addStep(), {hold: 'directory'}), {reason: 'directory'});
    });

    it('says that too many starts wait to be sent', () => {
      assert.deepEqual(findCause(addStep(), {hold: 'backlog'}), {
        limit: 'backlog',
        reason: 'start-limit',
      });
    });

    it('says that too many starts wait for deferrable ones to be planned, but not for urgent ones', () => {
      const deferrable = findCause(addStep({}, 'later'), {
        isBacklogged: true,
        isBudgetUsedUp: true,
      });
      const urgent = findCause(addStep(), {isBacklogged: true, isBudgetUsedUp: true});
      assert.deepEqual(deferrable, {limit: 'backlog', reason: 'start-limit'});
      assert.equal(urgent.reason, 'placement');
    });

    it('says that the time of the round was used up before all steps were placed', () => {
      assert.deepEqual(findCause(addStep(), {isCut: true}), {limit: 'time', reason: 'start-limit'});
    });

    it('says that the round had planned as many starts as may wait, not that its time was used up', () => {
      const cause = findCause(addStep(), {isCut: true, isRoomUsedUp: true});
      assert.deepEqual(cause, {limit: 'backlog', reason: 'start-limit'});
    });

    it('says that the round has used up its starts of deferrable work, but not of urgent work', () => {
      const deferrable = findCause(addStep({}, 'later'), {isBudgetUsedUp: true});
      const urgent = findCause(addStep(), {isBudgetUsedUp: true});
      assert.deepEqual(deferrable, {limit: 'allowance', reason: 'start-limit'});
      assert.equal(urgent.reason, 'placement');
    });

    it('names what withholds the task itself before them', () => {
      const step = addStep();
      fail(step, 1);
      sample.fleet.recordUnknownResult(step, 0, 2 as Run['number'], minion);
      assert.equal(findCause(step, {hold: 'backlog'}).reason, 'unknown-result');
    });

    it('starts no time that counts from when planning first considers a suspect', () => {
      const [stored, other] = [addStep(), addStep()];
      for (const each of [stored, other]) {
        each.crashes.record(0, crashOf(minion, 900, 1), at(0));
        each.crashes.record(0, crashOf(sample.addMinion('m2'), 900, 2), at(0));
      }
      sample.fleet.minions.delete(brand<MinionId>('m2'));
      startOn(sample, other.job, minion, 4_950);
      const {id, request, revision} = stored.job;
      const job = new JobState(request, revision, stored.job.exportProgress());
      sample.fleet.jobs.set(id, job);
      const step = job.occurrence(0)?.[0];
      assert.ok(step);
      assert.deepEqual(findCause(step, {hold: 'directory'}), {reason: 'directory'});
      assert.equal(computeWaitedMs(step, 0, at(9_000)), 0);
    });
  });
});

describe('findRunCause', () => {
  let minion: MinionState;
  let run: Run;
  let sample: SampleFleet;

  beforeEach(() => {
    sample = new SampleFleet(1);
    const [first] = sample.fleet.minions.values();
    assert.ok(first);
    minion = first;
    run = startOn(sample, sample.addJob('proofs', [shape()]), minion, 0);
  });

  it('returns nothing for a run that its minion lists', () => {
    assert.equal(findRunCause(run, minion, NOW), undefined);
  });

  it('names the minion that has not listed the result of an ended run', () => {
    minion.endRun(run);
    assert.deepEqual(findRunCause(run, minion, NOW), {
      minion: 'm1',
      reason: 'unknown-result',
      untilMs: undefined,
    });
  });

  it('names the silent minion and when its lease has expired', () => {
    minion.missedCalls = 1;
    run.leasedUntil = at(6_200);
    const untilMs = Math.min(1_200, minion.leaseClock.expiresInMs(NOW));
    assert.deepEqual(findRunCause(run, minion, NOW), {minion: 'm1', reason: 'lease', untilMs});
  });

  it('takes a minion whose entry is missing for silent only until it responds', () => {
    minion.lastAnswerAt = at(4_000);
    minion.unlistedSince = at(4_100);
    assert.equal(findRunCause(run, minion, NOW)?.reason, 'lease');
    minion.lastAnswerAt = at(4_200);
    assert.equal(findRunCause(run, minion, NOW), undefined);
  });

  it('names a run of a record that its minion has not listed', () => {
    run.knownFrom = 'record';
    assert.equal(findRunCause(run, minion, NOW)?.reason, 'start');
  });

  it('names a run that is being stopped and one that is not confirmed', () => {
    run.phase = 'stopping';
    assert.equal(findRunCause(run, minion, NOW)?.reason, 'stop');
    run.phase = 'starting';
    assert.equal(findRunCause(run, minion, NOW)?.reason, 'start');
  });
});
