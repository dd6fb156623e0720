import type {TaskId} from '@nutmegproxy/core';
import type {Checkpoint, RunNumber} from '@nutmegproxy/jobs';
import type {OwnershipToken, StartOrder} from '@nutmegproxy/owner';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionBounds} from '../../MinionBounds.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {createMinionDescription} from './JobSamples.ts';
import {runForever} from './TakeoverHarness.ts';

const TASK = '0000000000000001.0.0.0' as TaskId;
const TOKEN = 1 as OwnershipToken;

function createMinion(bounds: Partial<MinionBounds>): EmulatedMinion {
  return new EmulatedMinion(createMinionDescription('m1'), runForever, bounds);
}

function startTask(
  minion: EmulatedMinion,
  nowMs: number,
  change: Partial<StartOrder> = {},
): ReturnType<EmulatedMinion['start']> {
  const order = {checkpoint: undefined, number: 1 as RunNumber, payload: '', task: TASK};
  return minion.start({...order, ticket: undefined, token: TOKEN, untilMs: 1, ...change}, nowMs);
}

/** Returns when the only run of a minion has ended, and how, if time just passes until `nowMs`. */
function findEnd(minion: EmulatedMinion, nowMs: number): unknown {
  minion.advance(nowMs);
  const [run] = minion.records;
  return [run?.outcome, run?.endedAtMs];
}

describe('An emulated minion', () => {
  describe('whose longest lease is 6 s', () => {
    it('shortens the lease of a start', () => {
      const minion = createMinion({maxMinionLeaseMs: 6_000});
      startTask(minion, 1_000, {untilMs: 9_000});
      assert.deepEqual(findEnd(minion, 6_999), [undefined, undefined]);
      assert.deepEqual(findEnd(minion, 7_000), ['lapsed', 7_000]);
    });

    it('shortens the lease of a poll', () => {
      const minion = createMinion({maxMinionLeaseMs: 6_000});
      startTask(minion, 1_000, {untilMs: 9_000});
      minion.poll({ackedThrough: 0, token: TOKEN, untilMs: 12_000, waitMs: 0}, 3_000);
      assert.deepEqual(findEnd(minion, 20_000), ['lapsed', 9_000]);
    });

    it('does not extend a shorter lease', () => {
      const minion = createMinion({maxMinionLeaseMs: 6_000});
      startTask(minion, 1_000, {untilMs: 3_000});
      assert.deepEqual(findEnd(minion, 20_000), ['lapsed', 3_000]);
    });

    it('counts it on its own clock and ends runs late when its timer is', () => {
      const bounds = {clockLagRate: 0.02, expiryLatenessMs: 250, maxMinionLeaseMs: 9_800};
      const minion = createMinion(bounds);
      startTask(minion, 0, {untilMs: 20_000});
      assert.deepEqual(findEnd(minion, 10_249), [undefined, undefined]);
      assert.deepEqual(findEnd(minion, 10_250), ['lapsed', 10_250]);
    });
  });

  describe('whose clock begins anew with a later incarnation', () => {
    it('tells its own clock', () => {
      const minion = createMinion({restartClockMs: 100});
      minion.restart(2, 50_000);
      const answer = startTask(minion, 51_000, {untilMs: 2_000});
      assert.equal(answer._unsafeUnwrap().clockMs, 1_100);
    });

    it('holds the longest lease for a start that was meant for the incarnation before', () => {
      const minion = createMinion({restartClockMs: 100});
      minion.restart(2, 50_000);
      startTask(minion, 51_000, {untilMs: 57_500});
      assert.deepEqual(findEnd(minion, 80_000), ['lapsed', 61_000]);
    });
  });

  describe('that takes 900 ms to stop a run', () => {
    it('runs it until then, whether the stop is repeated or not', () => {
      const minion = createMinion({stopMs: 900});
      startTask(minion, 0, {untilMs: 9_000});
      const order = {number: 1 as RunNumber, task: TASK, token: TOKEN};
      assert.ok(minion.stop(order, 1_000).isOk());
      assert.ok(minion.stop(order, 1_500).isOk());
      assert.deepEqual(findEnd(minion, 1_899), [undefined, undefined]);
      assert.deepEqual(findEnd(minion, 1_900), ['stopped', 1_900]);
    });

    it('rejects a start that is not higher than the stop', () => {
      const minion = createMinion({stopMs: 900});
      minion.stop({number: 2 as RunNumber, task: TASK, token: TOKEN}, 0);
      const answer = startTask(minion, 100, {number: 2 as RunNumber, untilMs: 9_000});
      assert.equal(answer._unsafeUnwrapErr().kind, 'outdated');
    });
  });

  describe('that takes 600 ms to resume from a checkpoint', () => {
    const behaviour = {durationMs: 1_000, outcome: 'done'} as const;
    const description = createMinionDescription('m1');

    it('ends a run that resumes later by that', () => {
      const minion = new EmulatedMinion(description, () => behaviour, {restoreMs: 600});
      startTask(minion, 0, {checkpoint: 'saved' as Checkpoint, untilMs: 9_000});
      assert.deepEqual(findEnd(minion, 5_000), ['done', 1_600]);
    });

    it('does not delay a run that begins anew', () => {
      const minion = new EmulatedMinion(description, () => behaviour, {restoreMs: 600});
      startTask(minion, 0, {untilMs: 9_000});
      assert.deepEqual(findEnd(minion, 5_000), ['done', 1_000]);
    });
  });
});
