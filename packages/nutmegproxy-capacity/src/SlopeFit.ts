/** Fits straight lines to measured points. */

import {linearRegression, linearRegressionLine, mean} from 'simple-statistics';

/** One measurement: the size and the measured value. */
export interface SizedFigure {
  readonly figure: number;
  readonly size: number;
}

/** A line `intercept + slope * size` with its residuals. */
export interface Slope {
  readonly intercept: number;
  /** Largest vertical distance of a point from the line. */
  readonly largestResidual: number;
  /** Root mean square of the vertical distances of the points from the line. */
  readonly residual: number;
  readonly slope: number;
}

/**
 * Fits a line by least squares.
 *
 * @example
 * fitSlope([{figure: 3, size: 1}, {figure: 5, size: 2}]).slope; // 2
 */
export function fitSlope(points: readonly SizedFigure[]): Slope {
  const line = linearRegression(points.map(({figure, size}) => [size, figure]));
  const predict = linearRegressionLine(line);
  const distances = points.map(({figure, size}) => Math.abs(figure - predict(size)));
  return {
    intercept: line.b,
    largestResidual: Math.max(...distances),
    residual: Math.sqrt(mean(distances.map((distance) => distance ** 2))),
    slope: line.m,
  };
}
