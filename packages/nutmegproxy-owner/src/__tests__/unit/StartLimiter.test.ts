import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {StartRequest} from '../../StartLimiter.ts';

import {StartLimiter} from '../../StartLimiter.ts';

/** Timeout of a call in milliseconds. */
const TIMEOUT_MS = 500;
/** Processor time that a call takes from its owner, in milliseconds. */
const COST_MS = 2;
/** Duration of the simulated load in milliseconds. */
const DURATION_MS = 10_000;

/** Lets the promises that are resolved already continue. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

/**
 * Plays starts on an owner whose processor handles calls one after the other: a call that is not
 * handled within its timeout has cost as much and is repeated. Returns the number of answered calls.
 */
class SlowOwner {
  answered = 0;
  readonly #calls: {readonly sentAtMs: number}[] = [];
  readonly #limiter: StartLimiter | undefined;
  #nowMs = 0;

  constructor(limiter: StartLimiter | undefined) {
    this.#limiter = limiter;
  }

  /** Offers `starts` every 100 ms. */
  async play(starts: number): Promise<number> {
    for (; this.#nowMs < DURATION_MS; this.#nowMs += COST_MS) {
      if (this.#nowMs % 100 === 0 && this.#limiter?.isBacklogged !== true) {
        for (let index = 0; index < starts; index += 1) {
          void this.#send();
        }
        await settle();
      }
      await this.#handleNext();
    }
    return this.answered;
  }

  async #handleNext(): Promise<void> {
    const call = this.#calls.shift();
    if (call === undefined) {
      return;
    }
    const durationMs = this.#nowMs - call.sentAtMs;
    this.#limiter?.leave(Math.min(durationMs, TIMEOUT_MS), this.#nowMs);
    if (durationMs > TIMEOUT_MS) {
      void this.#send();
    } else {
      this.answered += 1;
    }
    await settle();
  }

  async #send(): Promise<void> {
    await this.#limiter?.enter();
    this.#calls.push({sentAtMs: this.#nowMs});
  }
}

describe('StartLimiter', () => {
  const capacity = DURATION_MS / COST_MS;

  for (const load of [1, 2, 5]) {
    it(`keeps an owner at four fifths of its capacity or more at ${load} times that load`, async () => {
      const answered = await new SlowOwner(new StartLimiter()).play((load * 100) / COST_MS);
      assert.ok(answered >= 0.8 * capacity, `${answered} of ${capacity}`);
    });
  }

  it('is what keeps it there: without a limit the owner repeats starts that have timed out', async () => {
    const answered = await new SlowOwner(undefined).play((5 * 100) / COST_MS);
    assert.ok(answered < 0.5 * capacity, `${answered} of ${capacity}`);
  });

  it('sends starts in the order in which they were requested', async () => {
    const limiter = new StartLimiter();
    const order: number[] = [];
    for (let index = 0; index < limiter.limit + 3; index += 1) {
      void limiter.enter().then(() => order.push(index));
    }
    await settle();
    assert.equal(order.length, limiter.limit);
    limiter.leave(1, 0);
    limiter.leave(1, 0);
    await settle();
    assert.deepEqual(
      order,
      [...order].sort((a, b) => a - b),
    );
    assert.ok(order.length >= limiter.limit + 1);
  });

  describe('a backlog of deferrable starts', () => {
    const URGENT = 5;
    /** Starts that may be sent in place of an urgent one while both kinds wait, and the one itself. */
    const MAX_SENT_PER_URGENT = 2;
    const MAX_URGENT_PER_DEFERRABLE = 4;
    const BACKLOG = 200;
    let limiter: StartLimiter;
    let sent: string[];

    function request(name: string, options: StartRequest = {}): void {
      void limiter.enter(options).then(() => sent.push(name));
    }

    function requestDeferrable(prefix: string, count = BACKLOG): void {
      for (let index = 0; index < count; index += 1) {
        request(`${prefix}${index}`);
      }
    }

    async function end(calls: number): Promise<void> {
      for (let index = 0; index < calls; index += 1) {
        limiter.leave(200, 0);
        await settle();
      }
    }

    beforeEach(() => {
      limiter = new StartLimiter();
      sent = [];
      for (let index = 0; index < limiter.limit; index += 1) {
        void limiter.enter();
      }
    });

    it('does not delay urgent starts that are requested later', async () => {
      requestDeferrable('d');
      for (let index = 0; index < URGENT; index += 1) {
        request(`u${index}`, {isUrgent: true});
      }
      await end(MAX_SENT_PER_URGENT * URGENT);
      const urgent = sent.filter((name) => name.startsWith('u'));
      assert.deepEqual(urgent, ['u0', 'u1', 'u2', 'u3', 'u4']);
    });

    it('is sent in the order in which it was requested', async () => {
      requestDeferrable('d', URGENT);
      await end(URGENT);
      assert.deepEqual(sent, ['d0', 'd1', 'd2', 'd3', 'd4']);
    });

    it('goes on beside urgent starts without an end', async () => {
      requestDeferrable('d');
      for (let index = 0; index < BACKLOG; index += 1) {
        request(`u${index}`, {isUrgent: true});
      }
      await end(BACKLOG);
      const deferrable = sent.filter((name) => name.startsWith('d'));
      assert.ok(deferrable.length >= BACKLOG / (MAX_URGENT_PER_DEFERRABLE + 1), `${sent.length}`);
    });

    it('does not delay starts of jobs of which nothing else is at work', async () => {
      requestDeferrable('d');
      for (let index = 0; index < URGENT; index += 1) {
        request(`a${index}`, {isAwaited: true});
      }
      await end(MAX_SENT_PER_URGENT * URGENT);
      const awaited = sent.filter((name) => name.startsWith('a'));
      assert.deepEqual(awaited, ['a0', 'a1', 'a2', 'a3', 'a4']);
    });

    it('goes on beside starts of such jobs without an end', async () => {
      requestDeferrable('d');
      for (let index = 0; index < BACKLOG; index += 1) {
        request(`a${index}`, {isAwaited: true});
      }
      await end(BACKLOG);
      const deferrable = sent.filter((name) => name.startsWith('d'));
      assert.ok(deferrable.length >= BACKLOG / (MAX_URGENT_PER_DEFERRABLE + 1), `${sent.length}`);
    });

    it('does not delay a member of a gang that is awaited after another was sent', async () => {
      const gang = {};
      request('g0', {gang, isAwaited: true});
      requestDeferrable('d');
      request('g1', {gang, isAwaited: true});
      await end(1 + MAX_SENT_PER_URGENT);
      assert.ok(sent.includes('g1'), sent.join());
    });

    it('does not delay the other members of a gang of which one was sent without waiting', async () => {
      const gang = {};
      limiter.leave(200, 0);
      request('g0', {gang});
      requestDeferrable('d');
      request('g1', {gang});
      await end(MAX_SENT_PER_URGENT);
      assert.ok(sent.includes('g1'), sent.join());
    });

    it('does not delay the other members of a gang of which one was sent', async () => {
      const gang = {};
      request('g0', {gang});
      requestDeferrable('d');
      request('g1', {gang});
      await end(1 + MAX_SENT_PER_URGENT);
      assert.ok(sent.includes('g1'), sent.join());
    });
  });

  describe('the limit', () => {
    let limiter: StartLimiter;

    function call(durationMs: number, nowMs: number): void {
      void limiter.enter();
      limiter.leave(durationMs, nowMs);
    }

    beforeEach(() => {
      limiter = new StartLimiter();
    });

    it('falls once for slow calls that were in flight together, and rises again', () => {
      const before = limiter.limit;
      for (let index = 0; index < 100; index += 1) {
        call(400, 1_000);
      }
      const reduced = limiter.limit;
      assert.ok(reduced < before && reduced > before / 2, `${reduced}`);
      for (let index = 0; index < 2_000; index += 1) {
        call(4, 2_000);
      }
      assert.ok(limiter.limit >= before, `${limiter.limit}`);
    });

    it('does not fall for a few minions that do not respond', () => {
      const before = limiter.limit;
      for (let index = 0; index < 1_000; index += 1) {
        call(index % 20 === 0 ? 500 : 120, index * 50);
      }
      assert.equal(limiter.limit, before);
    });

    it('stays within its bounds', () => {
      for (let index = 0; index < 1_000; index += 1) {
        call(500, index * 200);
      }
      assert.ok(limiter.limit >= 16, `${limiter.limit}`);
      for (let index = 0; index < 1_000_000; index += 1) {
        call(1, 1_000_000);
      }
      assert.ok(limiter.limit <= 512, `${limiter.limit}`);
    });
  });

  it('has a backlog only when more starts wait than may be in flight', async () => {
    const limiter = new StartLimiter();
    for (let index = 0; index < 2 * limiter.limit; index += 1) {
      assert.equal(limiter.isBacklogged, false);
      void limiter.enter();
    }
    await settle();
    assert.equal(limiter.isBacklogged, true);
  });

  it('is full only when more urgent starts wait than may be in flight', async () => {
    const limiter = new StartLimiter();
    for (let index = 0; index < 3 * limiter.limit; index += 1) {
      void limiter.enter();
    }
    for (let index = 0; index < limiter.limit; index += 1) {
      assert.equal(limiter.isFull, false);
      void limiter.enter({isUrgent: true});
    }
    await settle();
    assert.equal(limiter.isFull, true);
  });

  it('has room for as many starts as were sent since the last round, but for urgent ones that wait and those in flight', async () => {
    const limiter = new StartLimiter();
    const {limit} = limiter;
    assert.equal(limiter.takeRoom(), 2 * limit);
    for (let index = 0; index < limit + 10; index += 1) {
      void limiter.enter({isUrgent: true});
    }
    assert.equal(limiter.takeRoom(), limit - 10);
    for (let index = 0; index < 3 * limit; index += 1) {
      void limiter.enter({isUrgent: true});
      limiter.leave(200, 0);
    }
    await settle();
    assert.equal(limiter.takeRoom(), 3 * limit - 10);
    for (let index = 0; index < limit; index += 1) {
      void limiter.enter();
    }
    assert.equal(limiter.takeRoom(), limit - 10);
    for (let index = 0; index < limit; index += 1) {
      void limiter.enter({isUrgent: true});
    }
    assert.equal(limiter.takeRoom(), 1);
  });
});
