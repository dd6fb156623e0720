import type {LinkState} from '@nutmegproxy/standins';

import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LoanMember} from '../fakes/LoanSimulation.ts';

import {LOAN_PERIODS, LoanSimulation, MINION} from '../fakes/LoanSimulation.ts';

const SEED = Number(process.env.LOANS_SEED ?? 20_261_203);
const RUNS = Number(process.env.LOANS_RUNS ?? 300);
const TERM_AND_LIMIT_MS = (LOAN_PERIODS.loanTermMs + LOAN_PERIODS.requestLimitMs) * 1.1;

type Handler = (
  simulation: LoanSimulation,
  member: LoanMember,
  other: LoanMember,
  n: number,
) => unknown;

const LINK_STATES: readonly LinkState[] = ['cut', 'hold', 'open', 'open'];

const HANDLERS: Readonly<Record<string, Handler>> = {
  advance: (simulation, _member, _other, n) => {
    simulation.advance(n * 60);
  },
  borrow: (_world, member, _other, n) => member.borrow(1 + (n % 4)),
  dispatch: (_world, member) => {
    member.dispatch();
  },
  finish: (_world, member, _other, n) => {
    member.finish(n % 4);
  },
  freeze: (_world, member, _other, n) => {
    member.isFrozen = n % 2 === 0;
  },
  giveBack: (_world, member) => {
    member.giveBack();
  },
  kill: (simulation, member, _other, n) => {
    if (n % 8 === 0) {
      simulation.kill(member);
    }
  },
  link: ({network}, {identity: {vm}}, other, n) => {
    network.setLinkState(vm, other.identity.vm, LINK_STATES[n % LINK_STATES.length] ?? 'open');
  },
  release: ({network}, {identity: {vm}}, other) => {
    network.release(vm, other.identity.vm);
  },
  tick: ({members}) => {
    for (const member of members.filter(({isAlive, isFrozen}) => isAlive && !isFrozen)) {
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
): Promise<LoanSimulation> {
  const simulation = new LoanSimulation();
  for (const [kind, a, b, n] of actions) {
    const [member, other] = [simulation.members[a], simulation.members[b]];
    const canAct = member?.isAlive === true && (!member.isFrozen || kind === 'freeze');
    if (member !== undefined && other !== undefined && canAct) {
      await HANDLERS[kind]?.(simulation, member, other, n);
    }
    simulation.check();
  }
  return simulation;
}

function createPair(): [LoanSimulation, LoanMember, LoanMember] {
  const simulation = new LoanSimulation();
  const [a, b] = simulation.members;
  assert.ok(a && b);
  return [simulation, a, b];
}

describe('SlotLoans', () => {
  describe('borrow and giveBack', () => {
    it('moves idle slots to the borrower and back', async () => {
      const [, a, b] = createPair();
      await a.borrow(4);
      assert.equal(a.borrowed, 4);
      assert.equal(b.loans.countLentOf(MINION), 3);
      a.giveBack();
      assert.equal(a.borrowed, 0);
      assert.equal(b.loans.countLentOf(MINION), 0);
    });

    it('never lends borrowed slots', async () => {
      const [, a, b] = createPair();
      await a.borrow(3);
      await b.borrow(6);
      assert.equal(a.loans.countLentOf(MINION), 3);
      assert.equal(a.borrowed, 3);
    });

    it('counts the term from the request, not from the response', async () => {
      const [simulation, a, b] = createPair();
      b.onDeduct = () => {
        simulation.advance(LOAN_PERIODS.loanTermMs * 0.6);
      };
      await a.borrow(3);
      simulation.advance(LOAN_PERIODS.loanTermMs * 0.4);
      a.loans.expire(a.clock.monotonic());
      assert.equal(a.borrowed, 0);
    });

    it('returns the slots to the lender when the response is lost', async () => {
      const [simulation, a, b] = createPair();
      simulation.network.setLinkState(b.identity.vm, a.identity.vm, 'cut');
      await a.borrow(1);
      assert.equal(b.loans.countLentOf(MINION), 0);
    });

    it('expires a loan on both sides when no messages are delivered', async () => {
      const [simulation, a, b] = createPair();
      await a.borrow(3);
      simulation.network.setLinkState(a.identity.vm, b.identity.vm, 'cut');
      simulation.advance(LOAN_PERIODS.loanTermMs);
      a.tick();
      assert.equal(a.borrowed, 0);
      assert.equal(b.loans.countLentOf(MINION), 3);
      simulation.advance(TERM_AND_LIMIT_MS);
      b.tick();
      assert.equal(b.loans.countLentOf(MINION), 0);
    });
  });

  describe('renew', () => {
    it('extends a loan while it is in use', async () => {
      const [simulation, a] = createPair();
      await a.borrow(3);
      for (let n = 0; n < 20; n += 1) {
        simulation.advance(500);
        a.tick();
        await new Promise((resolve) => setImmediate(resolve));
      }
      assert.equal(a.borrowed, 3);
    });

    it('is refused when the lender gives up its share', async () => {
      const [simulation, a, b] = createPair();
      await a.borrow(3);
      b.share = 0;
      for (let n = 0; n < 6; n += 1) {
        simulation.advance(500);
        a.tick();
        await new Promise((resolve) => setImmediate(resolve));
      }
      assert.equal(a.borrowed, 0);
    });
  });

  describe('with lost, late and repeated messages', () => {
    it('never has more requests than slots, and recovers all slots', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(ACTION, {maxLength: 120, minLength: 40, size: 'max'}),
          async (actions) => {
            const simulation = await runActions(actions);
            simulation.advance(TERM_AND_LIMIT_MS);
            simulation.advance(TERM_AND_LIMIT_MS);
            const live = simulation.members.filter(({isAlive}) => isAlive);
            for (const member of live) {
              member.loans.expire(member.clock.monotonic());
            }
            const capacity = live.reduce((sum, {borrowed, share}) => sum + borrowed + share, 0);
            const lent = live.reduce((sum, {loans}) => sum + loans.countLentOf(MINION), 0);
            assert.equal(capacity - lent, 8);
          },
        ),
        {numRuns: RUNS, seed: SEED},
      );
    });
  });
});
