import type {Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {PollLimiter} from '../../PollLimiter.ts';

const NOW = 0 as Instant;
const DUE = {at: NOW, inSlowLoopAt: NOW};
const MINIONS = 246;
/** Processor time in milliseconds that a response takes from a fast and from a slow VM. */
const FAST_RESPONSE_MS = 0.4;
const SLOW_RESPONSE_MS = 10;
/** Time in milliseconds that a response of a slow VM may add to the renewal of the ownership. */
const BURST_BOUND_MS = 500;

describe('PollLimiter', () => {
  let limiter: PollLimiter;
  /** Polls that were admitted and have no response yet. */
  let open: number;

  async function settle(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  function enter(): void {
    void limiter.enter(DUE).then(() => {
      open += 1;
    });
  }

  /** Handles all responses in one turn and lets the minions be polled again; returns the length of the turn. */
  async function respond(responseMs: number): Promise<number> {
    const responses = open;
    open = 0;
    for (let index = 0; index < responses; index += 1) {
      limiter.recordResponse();
    }
    const durationMs = responses * responseMs;
    limiter.recordTurn({durationMs, phase: 'listings', workMs: 0});
    for (let index = 0; index < responses; index += 1) {
      limiter.leave();
      enter();
    }
    await settle();
    return durationMs;
  }

  beforeEach(async () => {
    limiter = new PollLimiter();
    open = 0;
    for (let index = 0; index < MINIONS; index += 1) {
      enter();
    }
    await settle();
  });

  describe('on a fast VM', () => {
    it('polls all minions at a time after a few turns', async () => {
      for (let turn = 0; turn < 3; turn += 1) {
        await respond(FAST_RESPONSE_MS);
      }
      assert.equal(open, MINIONS);
    });

    it('keeps that after a turn that was long for another reason', async () => {
      for (let turn = 0; turn < 3; turn += 1) {
        await respond(FAST_RESPONSE_MS);
      }
      limiter.recordResponse();
      limiter.recordTurn({durationMs: 900, phase: 'listings', workMs: 5});
      for (let index = 0; index < MINIONS; index += 1) {
        limiter.recordResponse();
      }
      limiter.recordTurn({durationMs: 900, phase: 'planning', workMs: 800});
      assert.ok(limiter.limit >= MINIONS, `${limiter.limit}`);
    });
  });

  describe('on a slow VM', () => {
    it('bounds the responses of each turn from the second long one on', async () => {
      await respond(SLOW_RESPONSE_MS);
      for (let turn = 0; turn < 200; turn += 1) {
        const durationMs = await respond(SLOW_RESPONSE_MS);
        assert.ok(durationMs <= BURST_BOUND_MS, `${durationMs} ms in turn ${turn}`);
      }
    });

    it('keeps enough polls open for the leases of all minions', async () => {
      for (let turn = 0; turn < 200; turn += 1) {
        await respond(10 * SLOW_RESPONSE_MS);
      }
      assert.ok(open >= 16, `${open}`);
    });

    it('rises again once turns are short', async () => {
      for (let turn = 0; turn < 20; turn += 1) {
        await respond(SLOW_RESPONSE_MS);
      }
      const reduced = limiter.limit;
      assert.ok(reduced < MINIONS / 4, `${reduced}`);
      for (let turn = 0; turn < 40; turn += 1) {
        await respond(FAST_RESPONSE_MS);
      }
      assert.equal(open, MINIONS);
    });

    it('shortens the waits of polls, so that each minion is polled as often as before', async () => {
      assert.equal(limiter.shortenWait(2_000, limiter.limit), 2_000);
      await respond(SLOW_RESPONSE_MS);
      assert.equal(limiter.shortenWait(2_000, 10 * limiter.limit), 200);
    });
  });

  it('does not rise while no poll waits for it', () => {
    const unused = new PollLimiter();
    const before = unused.limit;
    for (let turn = 0; turn < 1_000; turn += 1) {
      unused.recordResponse();
      unused.recordTurn({durationMs: 1, phase: 'listings', workMs: 0});
    }
    assert.equal(unused.limit, before);
  });

  describe('the order', () => {
    const admitted: number[] = [];

    /** Lets polls wait that are due at once and, in a slow event loop, in the reverse order. */
    async function admit(): Promise<void> {
      admitted.length = 0;
      for (const number of [2, 1, 3]) {
        const due = {at: (NOW - 10 + number) as Instant, inSlowLoopAt: (NOW - number) as Instant};
        void limiter.enter(due).then(() => admitted.push(number));
      }
      while (admitted.length < 3) {
        limiter.leave();
        await settle();
      }
    }

    it('begins with the polls that are due first', async () => {
      await admit();
      assert.deepEqual(admitted, [1, 2, 3]);
    });

    it('is that of a slow event loop once responses have made a turn long', async () => {
      await respond(SLOW_RESPONSE_MS);
      await admit();
      assert.deepEqual(admitted, [3, 2, 1]);
    });
  });

  it('tells its limit and how many polls wait', () => {
    assert.deepEqual(limiter.eventFields, {pollLimit: open, pollsWaiting: MINIONS - open});
  });
});
