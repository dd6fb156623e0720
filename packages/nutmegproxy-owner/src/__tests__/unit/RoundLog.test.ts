import type {EventFields, Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {
  DEFAULT_QUEUE_POLICY,
  DurationEstimator,
  Fleet,
  PlanSweep,
  SCHEDULING_EVENTS,
} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {Round, RoundHold} from '../../RoundLog.ts';

import {OwnerLoad} from '../../OwnerLoad.ts';
import {PollLimiter} from '../../PollLimiter.ts';
import {RoundLog} from '../../RoundLog.ts';
import {StartLimiter} from '../../StartLimiter.ts';
import {StartThrottle} from '../../StartThrottle.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const RECOVERY_MS = 2_500;

describe('RoundLog', () => {
  let fleet: Fleet;
  let lines: EventFields[];
  let log: RoundLog;
  let step: StepState;

  beforeEach(() => {
    lines = [];
    const events = {
      record: (kind: unknown, fields: EventFields) => {
        if (kind === SCHEDULING_EVENTS.TASKS_PENDING) {
          lines.push(fields);
        }
      },
    };
    fleet = new Fleet(events);
    step = createStep(1);
    fleet.jobs.set(step.job.id, step.job);
    const minion = createMinion();
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, 0 as Instant);
    fleet.minions.set(minion.id, minion);
    log = new RoundLog({
      events,
      fleet,
      load: new OwnerLoad(),
      minions: {
        computeDirectoryAge: () => 0,
        recovery: {describe: () => ({}), findRemainingMs: () => RECOVERY_MS},
      },
      orders: {describe: () => ({})},
      ownership: {requestedAt: 0 as Instant, term: 0},
      pollLimiter: new PollLimiter(),
      sharing: {describeExposure: () => undefined},
      startLimiter: new StartLimiter(),
      startThrottle: new StartThrottle(),
    });
  });

  /** Records two rounds that start nothing, 3 s apart; returns the line about pending tasks. */
  function recordRounds(
    hold: RoundHold | undefined,
    change: Partial<Round['context']> = {},
  ): EventFields {
    for (const ms of [0, 3_000]) {
      const now = ms as Instant;
      const wall = ms as WallTime;
      const context: Round['context'] = {
        advice: {isPermitted: () => undefined},
        estimator: new DurationEstimator(DEFAULT_PLATFORM_BOUNDS),
        now,
        sharingCosts: {backfillCost: () => 0, ordinaryCost: () => 0, servingCost: () => 0},
        wall,
        ...change,
      };
      step.readyAt = 0 as Instant;
      log.record({context, hold, now, starts: [], wall});
    }
    const [line, ...others] = lines;
    assert.ok(line);
    assert.deepEqual(others, []);
    return line;
  }

  /** Asserts that the task waits for the limit of the starts, by one of its causes alone. */
  function assertLimit(line: EventFields, cause: 'Allowance' | 'Backlog' | 'Time'): void {
    assert.equal(line.pendingStartLimit, 1);
    for (const each of ['Allowance', 'Backlog', 'Time']) {
      assert.equal(line[`startLimit${each}`], Number(each === cause), each);
    }
    assert.match(String(line.named), new RegExp(`/start-limit/3000/by=${cause.toLowerCase()}$`));
  }

  describe('of a task that could start', () => {
    it('says that the view of the directory is too old', () => {
      assert.equal(recordRounds('directory').pendingDirectory, 1);
    });

    it('says that too many starts wait to be sent', () => {
      assertLimit(recordRounds('backlog'), 'Backlog');
    });

    it('says that the starts of deferrable work are used up', () => {
      assertLimit(recordRounds(undefined, {deferrableStarts: 0}), 'Allowance');
    });

    it('says that the time for placement is used up', () => {
      const sweep = new PlanSweep();
      sweep.endRound(true);
      assertLimit(recordRounds(undefined, {sweep}), 'Time');
    });

    it('says no start limit while starts of deferrable work are left', () => {
      assert.equal(recordRounds(undefined, {deferrableStarts: 1}).pendingPlacement, 1);
    });

    it('says no start limit where the work is urgent', () => {
      const id = step.job.request.queue;
      const policy = {...DEFAULT_QUEUE_POLICY, advice: undefined, priority: 0};
      fleet.queues.set(id, {...policy, id: id, service: step.job.request.service});
      assert.equal(recordRounds(undefined, {deferrableStarts: 0}).pendingPlacement, 1);
    });
  });

  describe('of a task that waits for the recovery', () => {
    it('says how long that may still take', () => {
      fleet.recoveryRevision = step.job.revision;
      const line = recordRounds('backlog');
      assert.equal(line.pendingRecovery, 1);
      assert.match(String(line.named), /\/recovery\/3000\/until=2500$/);
    });
  });
});
