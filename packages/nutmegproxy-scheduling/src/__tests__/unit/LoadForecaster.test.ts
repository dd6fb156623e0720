import type {StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LoadForecaster} from '../../LoadForecaster.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

/** Variance of a report for other causes than the load, as the model of tails has it. */
const VARIANCE = 0.002;
const REPORT_INTERVAL_MS = 1_000;

function createStep(sample: SampleFleet): StepState {
  const step = sample.addJob('proofs', [shape({longRunning: true})]).occurrence(0)?.[0];
  assert.ok(step);
  return step;
}

/** The load of a step whose users come and go. */
function waveAt(ms: number, periodMs: number, phase: number): number {
  return 0.45 * (1 + 0.5 * Math.sin((2 * Math.PI * ms) / periodMs + phase));
}

/** Looks at steps with waves of one period for a time; returns the worst error 3 s ahead. */
function forecastWave(periodMs: number, seconds: number): {error: number; waves: LoadForecaster} {
  const sample = new SampleFleet(0);
  const waves = new LoadForecaster();
  const phases = [0, 1.5, 3, 4.5];
  const steps = phases.map(() => createStep(sample));
  for (let ms = 0; ms < seconds * 1000; ms += REPORT_INTERVAL_MS) {
    for (const [index, step] of steps.entries()) {
      const value = waveAt(ms, periodMs, phases[index] ?? 0);
      waves.update(step, {slope: 1, value, variance: VARIANCE}, at(ms));
    }
  }
  const soon = seconds * 1000 + 3_000;
  const errors = steps.map((step, index) =>
    Math.abs(waves.forecast(step, at(soon)).mean - waveAt(soon, periodMs, phases[index] ?? 0)),
  );
  return {error: Math.max(...errors), waves};
}

describe('LoadWaves', () => {
  describe('forecast', () => {
    it('expects an ordinary load of a step that was never seen, with much doubt', () => {
      const waves = new LoadForecaster();
      const {mean, variance} = waves.forecast(createStep(new SampleFleet(0)), at(0));
      assert.equal(mean, 0.45);
      assert.ok(variance >= 0.01);
    });

    for (const periodMs of [9_000, 14_000, 20_000, 30_000]) {
      it(`foretells the load of the next seconds in a wave of ${periodMs / 1000} s`, () => {
        // The load swings by 0.45; a forecast of its mean alone would be 0.22 off at the crests.
        const {error} = forecastWave(periodMs, 90);
        assert.ok(error < 0.06, `error ${error}`);
      });
    }

    it('doubts less the more it has seen', () => {
      const sample = new SampleFleet(0);
      const waves = new LoadForecaster();
      const step = createStep(sample);
      const before = waves.forecast(step, at(0)).variance;
      for (let ms = 0; ms < 5_000; ms += 500) {
        waves.update(step, {slope: 1, value: 0.5, variance: VARIANCE}, at(ms));
      }
      assert.ok(waves.forecast(step, at(5_000)).variance < before / 4);
    });

    it('stays sound for a step that lasts for hours and is looked at in bursts', () => {
      const step = createStep(new SampleFleet(0));
      const waves = new LoadForecaster();
      for (let look = 0; look < 20_000; look += 1) {
        const ms = Math.floor(look / 20) * 10_000;
        const value = waveAt(ms, 14_000, 0);
        waves.update(step, {slope: 1, value, variance: VARIANCE / 1000}, at(ms));
      }
      const {mean, variance} = waves.forecast(step, at(10_000_000));
      assert.ok(mean > 0 && mean <= 1 && variance >= 0 && variance < 0.1);
    });

    it('tells the load from a report that others have raised', () => {
      const sample = new SampleFleet(0);
      const waves = new LoadForecaster();
      const step = createStep(sample);
      for (let ms = 0; ms < 30_000; ms += REPORT_INTERVAL_MS) {
        waves.update(step, {slope: 1.5, value: 0.6, variance: VARIANCE}, at(ms));
      }
      assert.ok(Math.abs(waves.forecast(step, at(30_000)).mean - 0.4) < 0.02);
    });
  });

  describe('export', () => {
    it('hands the course of a load to an owner whose clock differs', () => {
      const sample = new SampleFleet(0);
      const step = createStep(sample);
      const former = new LoadForecaster();
      for (let ms = 0; ms < 60_000; ms += 500) {
        former.update(step, {slope: 1, value: waveAt(ms, 14_000, 1), variance: VARIANCE}, at(ms));
      }
      const next = new LoadForecaster();
      const knowledge = former.export(at(60_000), wallAt(1_000_000));
      // The next owner begins 2 s later; its steady clock then shows 5 s.
      next.import(knowledge, at(5_000), wallAt(1_002_000));
      const value = waveAt(62_000, 14_000, 1);
      next.update(step, {slope: 1, value, variance: VARIANCE}, at(5_000));
      const {mean} = next.forecast(step, at(8_000));
      assert.ok(Math.abs(mean - waveAt(65_000, 14_000, 1)) < 0.06, `load ${mean}`);
    });

    it('forgets steps whose job is over', () => {
      const step = createStep(new SampleFleet(0));
      const waves = new LoadForecaster();
      waves.update(step, {slope: 1, value: 0.5, variance: VARIANCE}, at(0));
      step.job.status = 'cancelled';
      assert.deepEqual(waves.export(at(1), wallAt(1)).steps, {});
    });
  });

  describe('period', () => {
    it('is that of the waves that were seen', () => {
      const {waves} = forecastWave(14_000, 120);
      assert.ok(Math.abs(waves.periodMs - 14_000) < 1_500, `period ${waves.periodMs}`);
    });
  });
});
