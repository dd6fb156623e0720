import type {LinkState} from '@nutmegproxy/standins';

import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LoanMember} from '../fakes/LoanWorld.ts';

import {LOAN_PERIODS, LoanWorld, MINION} from '../fakes/LoanWorld.ts';

const SEED = Number(process.env.LOANS_SEED ?? 20_261_203);
const RUNS = Number(process.env.LOANS_RUNS ?? 300);
const TERM_AND_LIMIT_MS = (LOAN_PERIODS.loanTermMs + LOAN_PERIODS.requestLimitMs) * 1.1;

type Handler = (world: LoanWorld, member: LoanMember, other: LoanMember, n: number) => unknown;

const PASSAGES: readonly LinkState[] = ['cut', 'hold', 'open', 'open'];

const HANDLERS: Readonly<Record<string, Handler>> = {
  advance: (world, _member, _other, n) => {
    world.advance(n * 60);
  },
  borrow: (_world, member, _other, n) => member.borrow(1 + (n % 4)),
  dispatch: (_world, member) => {
    member.dispatch();
  },
  finish: (_world, member, _other, n) => {
    member.finish(n % 4);
  },
  freeze: (_world, member, _other, n) => {
    member.frozen = n % 2 === 0;
  },
  giveBack: (_world, member) => {
    member.giveBack();
  },
  kill: (world, member, _other, n) => {
    if (n % 8 === 0) {
      world.kill(member);
    }
  },
  link: ({network}, {identity: {vm}}, other, n) => {
    network.setLinkState(vm, other.identity.vm, PASSAGES[n % PASSAGES.length] ?? 'open');
  },
  release: ({network}, {identity: {vm}}, other) => {
    network.release(vm, other.identity.vm);
  },
  tick: ({members}) => {
    for (const member of members.filter(({alive, frozen}) => alive && !frozen)) {
      member.tick();
    }
  },
};

const ACTION = fc.tuple(
  fc.constantFrom(...Object.keys(HANDLERS), 'borrow', 'dispatch', 'dispatch', 'advance', 'tick'),
  fc.nat(2),
  fc.nat(2),
  fc.nat(63),
);

async function runActions(
  actions: readonly [string, number, number, number][],
): Promise<LoanWorld> {
  const world = new LoanWorld();
  for (const [kind, a, b, n] of actions) {
    const [member, other] = [world.members[a], world.members[b]];
    const acts = member?.alive === true && (!member.frozen || kind === 'freeze');
    if (member !== undefined && other !== undefined && acts) {
      await HANDLERS[kind]?.(world, member, other, n);
    }
    world.check();
  }
  return world;
}

function createPair(): [LoanWorld, LoanMember, LoanMember] {
  const world = new LoanWorld();
  const [a, b] = world.members;
  assert.ok(a && b);
  return [world, a, b];
}

describe('SlotLoans', () => {
  describe('borrow and giveBack', () => {
    it('moves idle slots there and back', async () => {
      const [, a, b] = createPair();
      await a.borrow(4);
      assert.equal(a.borrowed, 4);
      assert.equal(b.loans.lent(MINION), 3);
      a.giveBack();
      assert.equal(a.borrowed, 0);
      assert.equal(b.loans.lent(MINION), 0);
    });

    it('never lends on what is itself borrowed', async () => {
      const [, a, b] = createPair();
      await a.borrow(3);
      await b.borrow(6);
      assert.equal(a.loans.lent(MINION), 3);
      assert.equal(a.borrowed, 3);
    });

    it('counts the term from the question, not from the answer', async () => {
      const [world, a, b] = createPair();
      b.onTake = () => {
        world.advance(LOAN_PERIODS.loanTermMs * 0.6);
      };
      await a.borrow(3);
      world.advance(LOAN_PERIODS.loanTermMs * 0.4);
      a.loans.expire(a.clock.monotonic());
      assert.equal(a.borrowed, 0);
    });

    it('gives the lender its slots back when the answer was lost', async () => {
      const [world, a, b] = createPair();
      world.network.setLinkState(b.identity.vm, a.identity.vm, 'cut');
      await a.borrow(1);
      assert.equal(b.loans.lent(MINION), 0);
    });

    it('reconciles by time when no message passes any more', async () => {
      const [world, a, b] = createPair();
      await a.borrow(3);
      world.network.setLinkState(a.identity.vm, b.identity.vm, 'cut');
      world.advance(LOAN_PERIODS.loanTermMs);
      a.tick();
      assert.equal(a.borrowed, 0);
      assert.equal(b.loans.lent(MINION), 3);
      world.advance(TERM_AND_LIMIT_MS);
      b.tick();
      assert.equal(b.loans.lent(MINION), 0);
    });
  });

  describe('renew', () => {
    it('keeps a loan for as long as it is used', async () => {
      const [world, a] = createPair();
      await a.borrow(3);
      for (let n = 0; n < 20; n += 1) {
        world.advance(500);
        a.tick();
        await new Promise((resolve) => setImmediate(resolve));
      }
      assert.equal(a.borrowed, 3);
    });

    it('is refused when the lender gives its share up', async () => {
      const [world, a, b] = createPair();
      await a.borrow(3);
      b.share = 0;
      for (let n = 0; n < 6; n += 1) {
        world.advance(500);
        a.tick();
        await new Promise((resolve) => setImmediate(resolve));
      }
      assert.equal(a.borrowed, 0);
    });
  });

  describe('under lost, late and repeated messages', () => {
    it('never has more requests than slots, and loses none for good', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(ACTION, {maxLength: 120, minLength: 40, size: 'max'}),
          async (actions) => {
            const world = await runActions(actions);
            world.advance(TERM_AND_LIMIT_MS);
            world.advance(TERM_AND_LIMIT_MS);
            const live = world.members.filter(({alive}) => alive);
            for (const member of live) {
              member.loans.expire(member.clock.monotonic());
            }
            const capacity = live.reduce((sum, {borrowed, share}) => sum + borrowed + share, 0);
            const lent = live.reduce((sum, {loans}) => sum + loans.lent(MINION), 0);
            assert.equal(capacity - lent, 8);
          },
        ),
        {numRuns: RUNS, seed: SEED},
      );
    });
  });
});
