import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {Team} from '@nutmegproxy/schema';

import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {computeQuotaShare, computeQuotaShares, listCells} from '../../QuotaShares.ts';

const SEED = 20_261_203;

describe('quota shares', () => {
  it('never exceed the quota in total, and each fits the largest task', () => {
    fc.assert(
      fc.property(
        fc.integer({max: 40, min: 1}),
        fc.integer({max: 64, min: 1}),
        fc.integer({max: 500, min: 0}),
        (cellCount, cpu, quotaCpu) => {
          const team: Team = {id: 't', quota: {cpu: quotaCpu}};
          const entry = {id: 'e', kind: 'task', limits: {cpu, memoryMb: 1}, owner: 't'};
          const view = {entries: new Map([['e', entry]])} as unknown as CatalogueView;
          const cells = Array.from({length: cellCount}, (_, index) => `dc/${index}`);
          const shares = cells.map((cell) => computeQuotaShare(team, view, cells, cell)?.cpu ?? 0);
          const sum = shares.reduce((total, share) => total + share, 0);
          assert.ok(sum <= quotaCpu + 1e-9);
          if (cpu <= quotaCpu) {
            assert.ok(shares.every((share) => share === 0 || share >= cpu - 1e-9));
            assert.ok(shares.some((share) => share > 0));
          }
        },
      ),
      {seed: SEED},
    );
  });

  describe('cache by catalogue and list of VMs', () => {
    const vms = ['r1', 'r2'].map((rack) => ({
      address: '127.0.0.1:1',
      dataCentre: 'dc',
      id: rack,
      rack,
      role: 'worker' as const,
      state: 'live' as const,
    }));
    const viewOf = (cpu: number): CatalogueView =>
      ({entries: new Map(), teams: new Map([['t', {id: 't', quota: {cpu}}]])}) as never;

    it('returns the same shares while neither changes', () => {
      const view = viewOf(8);
      assert.equal(listCells(vms), listCells(vms));
      const shares = computeQuotaShares(view, listCells(vms), 'dc/r1');
      assert.equal(computeQuotaShares(view, listCells(vms), 'dc/r1'), shares);
    });

    it('computes new shares when either changes', () => {
      const cells = listCells(vms);
      assert.equal(computeQuotaShares(viewOf(8), cells, 'dc/r1').get('t' as never)?.cpu, 4);
      assert.equal(computeQuotaShares(viewOf(6), cells, 'dc/r1').get('t' as never)?.cpu, 3);
      const fewer = listCells(vms.slice(0, 1));
      assert.equal(computeQuotaShares(viewOf(8), fewer, 'dc/r1').get('t' as never)?.cpu, 8);
    });
  });
});
