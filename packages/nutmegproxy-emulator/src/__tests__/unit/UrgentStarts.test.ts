/** Urgent tasks of an owner whose limit of starts is used up by deferrable ones, in emulated event loops. */

import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import {SlowTakeover} from './SlowTakeover.ts';

/** How many times slower than a core at full speed the VMs are. */
const FACTORS = [1, 3, 5];
/** Time in milliseconds after which minions carry out a start. */
const STARTS_AFTER_MS = 1_000;
/** Times in milliseconds after the kill of the former owner at which urgent tasks are submitted. */
const FIRST_URGENT_MS = 5_000;
const LAST_URGENT_MS = 15_000;
const URGENT_INTERVAL_MS = 500;
const PLAY_MS = 30_000;
/** Longest time in milliseconds until a task runs: the calls in flight end, then its own, and the rest is planning. */
const MAX_START_MS = 3.5 * STARTS_AFTER_MS;
const DEFERRABLE_TASKS_PER_JOB = 9;
/** Starts in flight that the limit allows at least. */
const MIN_LIMIT = 32;
/** Share of the starts that deferrable tasks get at least. */
const DEFERRABLE_SHARE = 0.25;

describe('Urgent tasks beside 1,800 deferrable ones on minions that take 1 s for each start', () => {
  for (const factor of FACTORS) {
    describe(`by VMs that are ${factor} times slower`, () => {
      const submitted: {readonly atMs: number; readonly task: string}[] = [];
      let deferrable: number;
      let play: SlowTakeover;

      before(async () => {
        play = new SlowTakeover(factor, {
          isDeferrable: true,
          startsAfterMs: STARTS_AFTER_MS,
          tasksPerJob: DEFERRABLE_TASKS_PER_JOB,
        });
        await play.prepare();
        for (let ms = FIRST_URGENT_MS; ms <= LAST_URGENT_MS; ms += URGENT_INTERVAL_MS) {
          await play.passUntil(ms);
          submitted.push({atMs: play.vms.nowMs, task: await play.submitUrgentTask()});
        }
        await play.passUntil(PLAY_MS);
        const urgent = submitted.filter(({task}) => play.findStartedMs(task) !== undefined);
        deferrable = play.countStarted() - urgent.length;
      });

      after(() => {
        play.close();
      });

      it('do not wait for starts that could wait', () => {
        const waits = submitted.map(
          ({atMs, task}) => (play.findStartedMs(task) ?? Infinity) - atMs,
        );
        assert.ok(Math.max(...waits) <= MAX_START_MS, waits.map(Math.round).join());
      });

      it('leave the deferrable ones a share of the starts', () => {
        const windows = (PLAY_MS - FIRST_URGENT_MS) / STARTS_AFTER_MS;
        const least = DEFERRABLE_SHARE * MIN_LIMIT * windows;
        assert.ok(deferrable >= least, `${deferrable} of ${least}`);
      });
    });
  }
});
