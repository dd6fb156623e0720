import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {WorkTurn} from '../../WorkQueue.ts';

import {ManualClock} from '../../Clock.ts';
import {WorkQueue} from '../../WorkQueue.ts';

const MAX_TURN_MS = 20;

describe('WorkQueue', () => {
  let clock: ManualClock;
  let done: string[];
  let queue: WorkQueue;
  let scheduled: (() => void)[];
  let turns: WorkTurn[];

  beforeEach(() => {
    clock = new ManualClock();
    done = [];
    scheduled = [];
    turns = [];
    queue = new WorkQueue({
      clock,
      maxTurnMs: MAX_TURN_MS,
      onTurn: (turn) => turns.push(turn),
      schedule: (callback) => scheduled.push(callback),
    });
  });

  function work(name: string, durationMs: number, phase = 'listings'): Promise<string> {
    return queue.run(phase, () => {
      clock.advance(durationMs);
      done.push(name);
      return name;
    });
  }

  function nextTurn(): void {
    scheduled.shift()?.();
  }

  describe('within a turn', () => {
    it('runs work at once while time is left', async () => {
      assert.equal(await work('a', 5), 'a');
      void work('b', 5);
      assert.deepEqual(done, ['a', 'b']);
    });

    it('leaves work to the next turn once the time is used up', () => {
      for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) {
        void work(name, 10);
      }
      assert.deepEqual(done, ['a', 'b']);
      nextTurn();
      assert.deepEqual(done, ['a', 'b', 'c', 'd']);
      nextTurn();
      assert.deepEqual(done, ['a', 'b', 'c', 'd', 'e', 'f']);
      assert.equal(queue.size, 0);
    });

    it('counts what else ran since the first piece of work', () => {
      void work('a', 1);
      clock.advance(MAX_TURN_MS);
      void work('b', 1);
      assert.deepEqual(done, ['a']);
    });

    it('does one piece of work even if that takes longer than a turn', () => {
      void work('a', 100);
      void work('b', 100);
      void work('c', 100);
      nextTurn();
      assert.deepEqual(done, ['a', 'b']);
    });
  });

  describe('order', () => {
    it('runs no work before work that waits', () => {
      void work('a', MAX_TURN_MS);
      void work('b', 1);
      nextTurn();
      void work('c', 1);
      assert.deepEqual(done, ['a', 'b', 'c']);
    });

    it('lets other work run between the items of a series', async () => {
      const series = queue.forEach('jobs', ['1', '2', '3'], (item) => {
        clock.advance(MAX_TURN_MS);
        done.push(item);
      });
      void work('a', MAX_TURN_MS);
      for (let turn = 0; turn < 6; turn += 1) {
        await Promise.resolve();
        await new Promise(setImmediate);
        nextTurn();
      }
      await series;
      assert.deepEqual(done, ['1', 'a', '2', '3']);
    });

    it('gives a series of short items as much time as longer pieces of other work', async () => {
      const others = 50;
      const otherMs = 2;
      const items = 200;
      const repeat = async (): Promise<void> => {
        for (;;) {
          await work('other', otherMs);
        }
      };
      for (let index = 0; index < others; index += 1) {
        void repeat();
      }
      let left = items;
      void queue.forEach('jobs', Array.from({length: items}), () => {
        clock.advance(1);
        left -= 1;
      });
      // The time in which each of the others does as much work as the series.
      const untilMs = clock.monotonic() + (others + 1) * items;
      while (left > 0 && clock.monotonic() <= untilMs) {
        nextTurn();
        await new Promise(setImmediate);
      }
      assert.equal(left, 0);
    });
  });

  describe('urgent work', () => {
    function urgent(name: string, durationMs: number): void {
      void queue.run('polls', () => (clock.advance(durationMs), done.push(name)), {isUrgent: true});
    }

    beforeEach(() => {
      void work('first', MAX_TURN_MS);
      done.length = 0;
    });

    it('goes before other work that waits', () => {
      void work('a', MAX_TURN_MS);
      urgent('U', MAX_TURN_MS);
      assert.equal(queue.size, 2);
      nextTurn();
      nextTurn();
      assert.deepEqual(done, ['U', 'a']);
    });

    it('keeps its order', () => {
      urgent('U', 1);
      urgent('V', 1);
      nextTurn();
      assert.deepEqual(done, ['U', 'V']);
    });

    it('gets half of the time while other work waits', () => {
      for (let count = 0; count < 10; count += 1) {
        urgent('U', 10);
        void work('a', 5);
      }
      for (let turn = 0; turn < 4; turn += 1) {
        nextTurn();
      }
      const urgentMs = done.filter((name) => name === 'U').length * 10;
      const otherMs = done.filter((name) => name === 'a').length * 5;
      assert.ok(Math.abs(urgentMs - otherMs) <= 10, `${urgentMs} and ${otherMs} ms`);
    });

    it('gets as much time as a long piece of other work took', () => {
      for (let count = 0; count < 6; count += 1) {
        void work('long', 40);
        urgent('U', 10);
      }
      for (let turn = 0; turn < 6; turn += 1) {
        nextTurn();
      }
      assert.deepEqual(done.slice(0, 7), ['U', 'long', 'U', 'U', 'U', 'U', 'long']);
    });

    it('leaves half of the time to other work when it comes piece by piece', () => {
      for (let count = 0; count < 10; count += 1) {
        void work('a', MAX_TURN_MS);
      }
      for (let turn = 0; turn < 10; turn += 1) {
        urgent('U', MAX_TURN_MS);
        nextTurn();
      }
      assert.equal(done.filter((name) => name === 'a').length, 5);
    });

    it('saves up no time while it waits alone', () => {
      urgent('U', 100);
      nextTurn();
      void work('a', MAX_TURN_MS);
      urgent('V', MAX_TURN_MS);
      nextTurn();
      nextTurn();
      assert.deepEqual(done, ['U', 'V', 'a']);
    });
  });

  describe('failures', () => {
    it('rejects with what the work throws and goes on with the next', async () => {
      const failed = queue.run('listings', () => {
        throw new Error('malformed');
      });
      await assert.rejects(failed, /malformed/);
      assert.equal(await work('a', 1), 'a');
    });
  });

  describe('turns', () => {
    it('reports the length of each turn and the phase that took longest', () => {
      void work('a', 3, 'polls');
      void work('b', 9, 'planning');
      clock.advance(4);
      nextTurn();
      assert.deepEqual(turns, [{durationMs: 16, phase: 'planning', workMs: 9}]);
    });

    it('schedules nothing while no work is done', () => {
      void work('a', 1);
      nextTurn();
      assert.equal(scheduled.length, 0);
      assert.equal(turns.length, 1);
    });
  });
});
