import type {MinionId} from '@nutmegproxy/core';

import {createRandom} from '@nutmegproxy/admission';
import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeShare} from '../../ShareUtils.ts';
import {SlotLedger} from '../../SlotLedger.ts';

const MINION = brand<MinionId>('m1');
const SEEDS = Array.from({length: 50}, (_, index) => index + 1);

describe('SlotLedger', () => {
  it('keeps the use of three processes within the minion’s slots during random loans', () => {
    for (const seed of SEEDS) {
      const random = createRandom(seed);
      const ledgers = [3, 3, 2].map((share) => {
        const ledger = new SlotLedger();
        ledger.setShares(new Map([[MINION, share]]));
        return ledger;
      });
      const loans: {borrower: SlotLedger; count: number; lender: SlotLedger}[] = [];
      const pick = <Value>(values: readonly Value[]): Value | undefined =>
        values[Math.floor(random() * values.length)];
      const lend = (): void => {
        const [lender, borrower] = [pick(ledgers), pick(ledgers)];
        const count = lender === borrower ? 0 : (lender?.lend(MINION, 2) ?? 0);
        if (lender !== undefined && borrower !== undefined && count > 0) {
          borrower.addBorrowed(MINION, count);
          loans.push({borrower, count, lender});
        }
      };
      const giveBack = (): void => {
        const [loan] = loans.splice(Math.floor(random() * loans.length), 1);
        const count = loan?.borrower.takeBorrowed(MINION) ?? 0;
        const returned = Math.min(count, loan?.count ?? 0);
        loan?.borrower.addBorrowed(MINION, count - returned);
        loan?.lender.restoreLent(MINION, returned);
        if (loan !== undefined && loan.count > returned) {
          loans.push({...loan, count: loan.count - returned});
        }
      };
      const release = (): void => {
        const busy = pick(ledgers.filter((ledger) => ledger.inFlight(MINION) > 0));
        busy?.release(MINION);
      };
      const acquire = (): void => void pick(ledgers)?.acquire(MINION);
      for (let step = 0; step < 400; step += 1) {
        pick([acquire, acquire, release, lend, giveBack])?.();
        const used = ledgers.reduce((sum, ledger) => sum + ledger.inFlight(MINION), 0);
        const usable = ledgers.reduce((sum, ledger) => sum + ledger.capacity(MINION), 0);
        assert.ok(used <= 8 && usable <= 8, `seed ${seed} step ${step}: ${used}/${usable}`);
      }
    }
  });

  it('distinguishes own from borrowed slots and stops using expired ones', () => {
    const ledger = new SlotLedger();
    ledger.setShares(new Map([[MINION, 1]]));
    ledger.addBorrowed(MINION, 1);
    assert.equal(ledger.acquire(MINION), 'own');
    assert.equal(ledger.acquire(MINION), 'borrowed');
    ledger.endBorrowed(MINION, 1);
    ledger.release(MINION);
    assert.equal(ledger.acquire(MINION), undefined);
    assert.equal(ledger.takeBorrowed(MINION), 0);
  });

  it('does not lend borrowed slots', () => {
    const ledger = new SlotLedger();
    ledger.addBorrowed(MINION, 2);
    assert.equal(ledger.lend(MINION, 2), 0);
  });
});

describe('computeShare', () => {
  it('returns shares that add up to the total', () => {
    const members = ['a', 'b', 'c'];
    for (let total = 0; total < 12; total += 1) {
      const shares = members.map((each) => computeShare(total, members, each));
      assert.equal(
        shares.reduce((sum, share) => sum + share, 0),
        total,
      );
    }
  });
});
