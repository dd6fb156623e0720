import type {Scenario} from '@nutmegproxy/schema';

import {deepEqual, equal, notDeepEqual, ok} from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {describe, it} from 'node:test';

import {drawArrivals} from '../../Arrivals.ts';
import {readScenario, slotCapacity} from '../../Scenario.ts';

const FOLDER = new URL('../../../scenarios/', import.meta.url);

const SCENARIO: Scenario = {
  connections: 64,
  deployment: 'mesa',
  description: 'For tests.',
  durationMs: 20_000,
  entryVms: 1,
  faults: [{atMs: 10_000, factor: 3, kind: 'load'}],
  load: 0.5,
  minions: 5,
  name: 'test',
  slots: 8,
  traffic: [
    {class: 'latency-critical', entry: 'a', serviceMs: 50, share: 0.75, timeoutMs: 1000},
    {class: 'batch', entry: 'b', serviceMs: 250, share: 0.25, timeoutMs: 5000},
  ],
  warmUpMs: 0,
};

describe('scenarios', () => {
  for (const file of readdirSync(FOLDER)) {
    it(`parses ${file}, whose name matches the file name`, () => {
      const scenario = readScenario(readFileSync(new URL(file, FOLDER), 'utf8'));
      equal(`${scenario._unsafeUnwrap().name}.jsonc`, file);
    });
  }

  it('reports validation and syntax errors', () => {
    const {faults} = readScenario('{"name": 7}')._unsafeUnwrapErr();
    ok(faults.some((fault) => fault.startsWith('/name')));
    equal(readScenario('{')._unsafeUnwrapErr().faults.length, 1);
  });
});

describe('drawArrivals', () => {
  it('draws the same arrivals for the same seed and different ones for another seed', () => {
    deepEqual(drawArrivals(SCENARIO, 7), drawArrivals(SCENARIO, 7));
    notDeepEqual(drawArrivals(SCENARIO, 7), drawArrivals(SCENARIO, 8));
  });

  it('matches the load of the scenario and the higher load during a load fault', () => {
    equal(slotCapacity(SCENARIO), 400);
    const arrivals = drawArrivals(SCENARIO, 1);
    const before = arrivals.filter(({atMs}) => atMs < 10_000).length;
    ok(Math.abs(before - 2000) < 200, String(before));
    const during = arrivals.length - before;
    ok(Math.abs(during - 6000) < 400, String(during));
  });

  it('matches the traffic shares and the mean service times', () => {
    const arrivals = drawArrivals(SCENARIO, 1);
    const batch = arrivals.filter(({traffic}) => traffic.class === 'batch');
    ok(Math.abs(batch.length / arrivals.length - 0.25) < 0.03);
    const total = batch.reduce((sum, {serviceMs}) => sum + serviceMs, 0);
    ok(Math.abs(total / batch.length - 250) < 20);
  });
});
