import {ManualClock} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {EmulatedLoop} from './EmulatedLoop.ts';

const FACTOR = 5;

describe('EmulatedLoop', () => {
  let clock: ManualClock;
  let done: string[];
  let loop: EmulatedLoop;
  let sentMs: number[];

  beforeEach(() => {
    clock = new ManualClock();
    done = [];
    sentMs = [];
    loop = new EmulatedLoop(FACTOR, clock, (atMs) => sentMs.push(atMs));
  });

  /** Returns a callback that works for a time of a VM at full speed. */
  function work(name: string, workMs = 0): () => void {
    return () => {
      done.push(name);
      loop.charge(workMs);
    };
  }

  async function iterate(iterations = 1): Promise<void> {
    for (let phase = 0; phase < 3 * iterations; phase += 1) {
      await loop.step(() => Promise.resolve());
    }
  }

  describe('an iteration', () => {
    it('calls due timers, then handles responses, then calls what was set immediate', async () => {
      loop.addImmediate(work('immediate'));
      clock.advance(10);
      loop.receive(10, work('response'), false);
      loop.addTimer(work('later timer'), 5);
      loop.addTimer(work('timer'), 1);
      clock.advance(5);
      await iterate();
      assert.deepEqual(done, ['timer', 'later timer', 'response', 'immediate']);
    });

    it('handles all responses that are ready before a timer that is due meanwhile', async () => {
      loop.addTimer(work('timer'), 12);
      loop.receive(10, work('first', 100), false);
      loop.receive(10, work('second', 100), false);
      await iterate(2);
      assert.deepEqual(done, ['first', 'second', 'timer']);
    });

    it('leaves what is set immediate in it to the next one, after due timers', async () => {
      loop.addImmediate(() => {
        loop.addImmediate(work('immediate'));
        loop.addTimer(work('timer'), 1);
        loop.charge(1);
      });
      await iterate(2);
      assert.deepEqual(done, ['timer', 'immediate']);
    });

    it('handles a response that became ready during its timers', async () => {
      loop.addTimer(work('timer', 10), 1);
      loop.receive(20, work('response'), false);
      await iterate();
      assert.deepEqual(done, ['timer', 'response']);
    });

    it('leaves it to the next one where a response needs a whole iteration', async () => {
      loop.addTimer(work('timer', 10), 1);
      loop.receive(20, work('response'), true);
      await iterate();
      assert.deepEqual(done, ['timer']);
      await iterate();
      assert.deepEqual(done, ['timer', 'response']);
    });

    it('sends calls at its end', async () => {
      loop.addTimer(() => {
        loop.send(2, () => undefined);
        loop.charge(10);
      }, 1);
      await iterate();
      assert.deepEqual(sentMs, [1 + FACTOR * 10 + 2]);
    });
  });

  describe('its clock', () => {
    it('goes on to the next event while nothing is due', async () => {
      loop.addTimer(work('timer'), 40);
      assert.equal(loop.nextStepMs, 40);
      await iterate();
      assert.equal(clock.monotonic(), 40);
    });

    it('is advanced by work, times the factor', async () => {
      loop.addTimer(work('timer', 3), 40);
      await iterate();
      assert.equal(clock.monotonic(), 40 + FACTOR * 3);
      assert.equal(loop.activeMs, FACTOR * 3);
    });
  });

  it('does not call a timer that one before has cleared', async () => {
    const cleared = loop.addTimer(work('cleared'), 2);
    loop.addTimer(() => {
      loop.clearTimer(cleared);
    }, 1);
    clock.advance(5);
    await iterate();
    assert.deepEqual(done, []);
  });

  it('does nothing once it is killed', () => {
    loop.addTimer(work('timer'), 1);
    loop.kill();
    assert.equal(loop.nextStepMs, Infinity);
  });
});
