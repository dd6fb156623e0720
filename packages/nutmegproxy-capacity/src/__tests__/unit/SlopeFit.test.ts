import {ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {fitSlope} from '../../index.ts';

function isNear(actual: number, expected: number): boolean {
  return Math.abs(actual - expected) < 1e-9;
}

describe('fitSlope', () => {
  describe('points on a line', () => {
    it('returns the line with zero residuals', () => {
      const points = [1, 2, 4, 8].map((size) => ({figure: 3 + 0.5 * size, size}));
      const line = fitSlope(points);
      ok(isNear(line.slope, 0.5));
      ok(isNear(line.intercept, 3));
      ok(isNear(line.residual, 0));
      ok(isNear(line.largestResidual, 0));
    });
  });

  describe('points off the line', () => {
    it('returns the residuals', () => {
      // The least-squares line is constant at the mean, 2.
      const points = [
        {figure: 1, size: 0},
        {figure: 3, size: 0},
        {figure: 1, size: 1},
        {figure: 3, size: 1},
      ];
      const line = fitSlope(points);
      ok(isNear(line.slope, 0));
      ok(isNear(line.residual, 1));
      ok(isNear(line.largestResidual, 1));
    });
  });
});
