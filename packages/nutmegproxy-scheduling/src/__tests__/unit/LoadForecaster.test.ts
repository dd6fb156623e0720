import type {StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LoadForecaster} from '../../LoadForecaster.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

/** Variance of a report from causes other than the load, as in the tail latency model. */
const REPORT_VARIANCE = 0.002;
const REPORT_INTERVAL_MS = 1_000;

function createStep(sample: SampleFleet): StepState {
  const step = sample.addJob('proofs', [shape({longRunning: true})]).occurrence(0)?.[0];
  assert.ok(step);
  return step;
}

/** Returns the load at an instant, which oscillates with the given period. */
function computeLoad(ms: number, periodMs: number, phase: number): number {
  return 0.45 * (1 + 0.5 * Math.sin((2 * Math.PI * ms) / periodMs + phase));
}

/** Observes steps whose loads oscillate for some seconds; returns the largest error 3 s ahead. */
function forecastLoads(
  periodMs: number,
  seconds: number,
): {error: number; forecaster: LoadForecaster} {
  const sample = new SampleFleet(0);
  const forecaster = new LoadForecaster();
  const phases = [0, 1.5, 3, 4.5];
  const steps = phases.map(() => createStep(sample));
  for (let ms = 0; ms < seconds * 1000; ms += REPORT_INTERVAL_MS) {
    for (const [index, step] of steps.entries()) {
      const value = computeLoad(ms, periodMs, phases[index] ?? 0);
      forecaster.update(step, {slope: 1, value, variance: REPORT_VARIANCE}, at(ms));
    }
  }
  const forecastAtMs = seconds * 1000 + 3_000;
  const errors = steps.map((step, index) =>
    Math.abs(
      forecaster.forecast(step, at(forecastAtMs)).mean -
        computeLoad(forecastAtMs, periodMs, phases[index] ?? 0),
    ),
  );
  return {error: Math.max(...errors), forecaster};
}

describe('LoadForecaster', () => {
  describe('forecast', () => {
    it('returns the prior mean with a high variance for a step without reports', () => {
      const forecaster = new LoadForecaster();
      const {mean, variance} = forecaster.forecast(createStep(new SampleFleet(0)), at(0));
      assert.equal(mean, 0.45);
      assert.ok(variance >= 0.01);
    });

    for (const periodMs of [9_000, 14_000, 20_000, 30_000]) {
      it(`forecasts the load of the next seconds with a period of ${periodMs / 1000} s`, () => {
        // The load varies by 0.45; a forecast of the mean alone would be 0.22 off at the peaks.
        const {error} = forecastLoads(periodMs, 90);
        assert.ok(error < 0.06, `error ${error}`);
      });
    }

    it('reduces the variance with each report', () => {
      const sample = new SampleFleet(0);
      const forecaster = new LoadForecaster();
      const step = createStep(sample);
      const before = forecaster.forecast(step, at(0)).variance;
      for (let ms = 0; ms < 5_000; ms += 500) {
        forecaster.update(step, {slope: 1, value: 0.5, variance: REPORT_VARIANCE}, at(ms));
      }
      assert.ok(forecaster.forecast(step, at(5_000)).variance < before / 4);
    });

    it('stays numerically stable for a step that runs for hours and is reported in bursts', () => {
      const step = createStep(new SampleFleet(0));
      const forecaster = new LoadForecaster();
      for (let report = 0; report < 20_000; report += 1) {
        const ms = Math.floor(report / 20) * 10_000;
        const value = computeLoad(ms, 14_000, 0);
        forecaster.update(step, {slope: 1, value, variance: REPORT_VARIANCE / 1000}, at(ms));
      }
      const {mean, variance} = forecaster.forecast(step, at(10_000_000));
      assert.ok(mean > 0 && mean <= 1 && variance >= 0 && variance < 0.1);
    });

    it('infers the load from values that interference has raised', () => {
      const sample = new SampleFleet(0);
      const forecaster = new LoadForecaster();
      const step = createStep(sample);
      for (let ms = 0; ms < 30_000; ms += REPORT_INTERVAL_MS) {
        forecaster.update(step, {slope: 1.5, value: 0.6, variance: REPORT_VARIANCE}, at(ms));
      }
      assert.ok(Math.abs(forecaster.forecast(step, at(30_000)).mean - 0.4) < 0.02);
    });
  });

  describe('export', () => {
    it('transfers the load of a step to an owner whose clock differs', () => {
      const sample = new SampleFleet(0);
      const step = createStep(sample);
      const formerForecaster = new LoadForecaster();
      for (let ms = 0; ms < 60_000; ms += 500) {
        formerForecaster.update(
          step,
          {slope: 1, value: computeLoad(ms, 14_000, 1), variance: REPORT_VARIANCE},
          at(ms),
        );
      }
      const nextForecaster = new LoadForecaster();
      const snapshot = formerForecaster.export(at(60_000), wallAt(1_000_000));
      // The next owner starts 2 s later; its monotonic clock then shows 5 s.
      nextForecaster.import(snapshot, at(5_000), wallAt(1_002_000));
      const value = computeLoad(62_000, 14_000, 1);
      nextForecaster.update(step, {slope: 1, value, variance: REPORT_VARIANCE}, at(5_000));
      const {mean} = nextForecaster.forecast(step, at(8_000));
      assert.ok(Math.abs(mean - computeLoad(65_000, 14_000, 1)) < 0.06, `load ${mean}`);
    });

    it('leaves out steps whose job is over', () => {
      const step = createStep(new SampleFleet(0));
      const forecaster = new LoadForecaster();
      forecaster.update(step, {slope: 1, value: 0.5, variance: REPORT_VARIANCE}, at(0));
      step.job.status = 'cancelled';
      assert.deepEqual(forecaster.export(at(1), wallAt(1)).steps, {});
    });
  });

  describe('period', () => {
    it('matches the period of the reported loads', () => {
      const {forecaster} = forecastLoads(14_000, 120);
      assert.ok(Math.abs(forecaster.periodMs - 14_000) < 1_500, `period ${forecaster.periodMs}`);
    });
  });
});
