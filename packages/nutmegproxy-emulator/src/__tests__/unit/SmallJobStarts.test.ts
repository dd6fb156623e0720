/** Small jobs that arrive while an owner on a slow VM starts many tasks that are as urgent, in emulated event loops. */

import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {SlowTakeover} from './SlowTakeover.ts';

/** How many times slower than a core at full speed the VMs are. */
const FACTORS = [3, 5];
/** Time in milliseconds after which minions carry out a start; the limit of starts falls from there on. */
const STARTS_AFTER_MS = 300;
/** Times in milliseconds after the kill of the former owner at which jobs of one task are submitted. */
const FIRST_JOB_MS = 5_000;
const LAST_JOB_MS = 14_000;
const JOB_INTERVAL_MS = 500;
const PLAY_MS = 20_000;
/** Longest time in milliseconds until a task runs: the deadline of the users' callers. */
const MAX_START_MS = 3_000;
const OTHER_TASKS_PER_JOB = 9;

describe('Jobs of one task beside 200 of nine as urgent ones, on minions that take 0.3 s for each start', () => {
  for (const factor of FACTORS) {
    describe(`by VMs that are ${factor} times slower`, () => {
      const submitted: {readonly atMs: number; readonly task: string}[] = [];
      let play: SlowTakeover;

      before(async () => {
        play = new SlowTakeover(factor, {
          isDeferrable: false,
          startsAfterMs: STARTS_AFTER_MS,
          tasksPerJob: OTHER_TASKS_PER_JOB,
        });
        await play.prepare();
        for (let ms = FIRST_JOB_MS; ms <= LAST_JOB_MS; ms += JOB_INTERVAL_MS) {
          await play.passUntil(ms);
          submitted.push({atMs: play.vms.nowMs, task: await play.submitUrgentTask()});
        }
        await play.passUntil(PLAY_MS);
      });

      after(() => {
        play.close();
      });

      it('do not wait for starts that were planned long before they were sent', () => {
        const waits = submitted.map(
          ({atMs, task}) => (play.findStartedMs(task) ?? Infinity) - atMs,
        );
        assert.ok(Math.max(...waits) <= MAX_START_MS, waits.map(Math.round).join());
      });
    });
  }
});
