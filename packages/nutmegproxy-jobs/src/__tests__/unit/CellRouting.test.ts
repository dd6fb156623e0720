import type {JobId, WallTime} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CellIndex} from '../../CellKeys.ts';
import type {RoomGroup} from '../../CellRoom.ts';
import type {CellForecast} from '../../CellRouting.ts';
import type {ServiceId, StepShape} from '../../JobModel.ts';

import {findJobCell} from '../../CellChoice.ts';
import {countHeldTasks} from '../../CellRoom.ts';
import {chooseJobCell, MAX_OUTLOOK_AGE_MS} from '../../CellRouting.ts';

const NOW = 1_000_000 as WallTime;
const SERVICE = 'mesa' as ServiceId;
const JOBS = 200;

function createId(number: number): JobId {
  return brand<JobId>(number.toString(16).padStart(16, '0'));
}

function createStep(change: Partial<StepShape> = {}): StepShape {
  return {
    after: [],
    checkpoints: false,
    count: 10,
    disruptionBudget: undefined,
    estimateMs: undefined,
    fillsSpareCpu: false,
    gang: false,
    image: undefined,
    longRunning: false,
    maxPerMinion: undefined,
    preferredRack: undefined,
    rackLocal: false,
    requiredLabel: undefined,
    resources: {cpuMilli: 4_000, gpus: 0, memoryMb: 4_000},
    speculative: false,
    tailTargetMs: undefined,
    ...change,
  };
}

function createGroup(change: Partial<RoomGroup> = {}): RoomGroup {
  return {
    cpuMilli: 16_000,
    gpus: 0,
    memoryMb: 64_000,
    minions: 40,
    service: SERVICE,
    ...change,
  };
}

function createForecast(group: Partial<RoomGroup> = {}, waitingJobs = 0, ageMs = 0): CellForecast {
  const full = createGroup(group);
  const labels = {a: full.minions};
  return {groups: [full], labels, waitingJobs, writtenAt: (NOW - ageMs) as WallTime};
}

function choose(
  number: number,
  forecasts: readonly (CellForecast | undefined)[],
  step = createStep(),
): CellIndex {
  const job = {id: createId(number), service: SERVICE, steps: [step]};
  return chooseJobCell(job, forecasts, NOW);
}

/** Returns the cells that are chosen for many jobs. */
function chooseMany(
  forecasts: readonly (CellForecast | undefined)[],
  step = createStep(),
): CellIndex[] {
  return Array.from({length: JOBS}, (_, number) => choose(number, forecasts, step));
}

function areAllHome(chosen: readonly CellIndex[], cells: number): boolean {
  return chosen.every((cell, number) => cell === findJobCell(createId(number), cells));
}

const groups = fc.record({
  cpuMilli: fc.integer({max: 32_000, min: 0}),
  gpus: fc.integer({max: 2, min: 0}),
  memoryMb: fc.integer({max: 64_000, min: 0}),
  minions: fc.integer({max: 40, min: 1}),
  service: fc.constantFrom(SERVICE, 'other' as ServiceId),
});
const forecasts = fc.record({
  groups: fc.array(groups, {maxLength: 4}),
  labels: fc.dictionary(fc.constantFrom('a', 'b'), fc.nat(100)),
  waitingJobs: fc.nat(50),
  writtenAt: fc.integer({max: 20_000, min: -20_000}).map((age) => (NOW - age) as WallTime),
});
const steps = fc
  .record({
    count: fc.integer({max: 80, min: 1}),
    maxPerMinion: fc.option(fc.constantFrom(1, 2), {nil: undefined}),
    requiredLabel: fc.option(fc.constantFrom('a', 'c'), {nil: undefined}),
  })
  .map(createStep);

describe('the cell of a new job', () => {
  it('is the home where nothing is published, of it or of any cell', () => {
    assert.ok(areAllHome(chooseMany([undefined, undefined, undefined]), 3));
    const chosen = chooseMany([createForecast(), undefined, createForecast()]);
    assert.ok(areAllHome(chosen, 3));
  });

  for (const ageMs of [MAX_OUTLOOK_AGE_MS + 1, -MAX_OUTLOOK_AGE_MS - 1]) {
    it(`is the home whatever waits there or elsewhere by figures that are ${ageMs} ms old`, () => {
      const full = createForecast({}, 500, ageMs);
      const empty = createForecast({}, 0, ageMs);
      assert.ok(areAllHome(chooseMany([full, empty, empty]), 3));
      assert.ok(areAllHome(chooseMany([full, createForecast(), createForecast()]), 3));
      assert.ok(areAllHome(chooseMany([createForecast({}, 500), empty, empty]), 3));
    });

    it(`is none that is too small, by figures that are ${ageMs} ms old`, () => {
      const forecasts = [createForecast({minions: 5}, 0, ageMs), createForecast({}, 0, ageMs)];
      assert.deepEqual(new Set(chooseMany(forecasts, createStep({count: 30}))), new Set([1]));
    });
  }

  it('is the home where as many jobs wait in each cell', () => {
    const same = createForecast({}, 7);
    assert.ok(areAllHome(chooseMany([same, same, same]), 3));
  });

  it('is none that is too small for the widest step', () => {
    const forecasts = [createForecast({minions: 5}), createForecast(), createForecast()];
    const wide = createStep({count: 30});
    assert.ok(!chooseMany(forecasts, wide).includes(0 as CellIndex));
    const apart = createStep({count: 6, maxPerMinion: 1});
    assert.ok(!chooseMany(forecasts, apart).includes(0 as CellIndex));
    assert.ok(chooseMany(forecasts, createStep()).includes(0 as CellIndex));
  });

  it('is none without the label or the service, whatever waits in the others', () => {
    const full = createForecast({}, 500);
    const labelled = createStep({requiredLabel: 'a'});
    assert.ok(
      !chooseMany([{...createForecast(), labels: {}}, full, full], labelled).includes(
        0 as CellIndex,
      ),
    );
    const other = createForecast({service: 'other' as ServiceId});
    assert.ok(!chooseMany([full, other, full]).includes(1 as CellIndex));
  });

  it('is the one that holds the largest part of a step that no cell holds', () => {
    const forecasts = [
      createForecast({minions: 30}),
      createForecast({minions: 50}),
      createForecast({minions: 40}),
    ];
    const wide = createStep({count: 57, maxPerMinion: 1});
    assert.deepEqual(new Set(chooseMany(forecasts, wide)), new Set([1]));
  });

  it('is the home where no cell can run a task', () => {
    const none = {...createForecast(), labels: {}};
    assert.ok(areAllHome(chooseMany([none, none], createStep({requiredLabel: 'a'})), 2));
  });

  it('is another one for some jobs of a cell in which more jobs wait, and for no other', () => {
    const chosen = chooseMany([createForecast({}, 40), createForecast(), createForecast()]);
    const homes = chosen.map((_, number) => findJobCell(createId(number), 3));
    assert.ok(!chosen.includes(0 as CellIndex), 'the other of two is always shorter');
    for (const [number, home] of homes.entries()) {
      assert.ok(home === (0 as CellIndex) || chosen[number] === home);
    }
    assert.ok(new Set(chosen).size === 2, 'the others share them');
  });

  it('is the home where only a few more jobs wait', () => {
    assert.ok(areAllHome(chooseMany([createForecast({}, 3), createForecast()]), 2));
    assert.ok(!areAllHome(chooseMany([createForecast({}, 4), createForecast()]), 2));
  });

  it('counts the jobs that wait for the room of a cell, not those of a cell', () => {
    const large = createForecast({minions: 100}, 20);
    const small = createForecast({minions: 20}, 15);
    const chosen = chooseMany([large, small]);
    assert.deepEqual(new Set(chosen), new Set([0]));
  });

  it('is one of the fleet, and with one cell that one, whatever is published', () => {
    fc.assert(
      fc.property(
        fc.array(fc.option(forecasts, {nil: undefined}), {maxLength: 16, minLength: 1}),
        steps,
        fc.nat(1_000),
        (published, step, number) => {
          const cell = choose(number, published, step);
          assert.ok(Number.isInteger(cell) && cell >= 0 && cell < published.length);
          assert.equal(choose(number, published, step), cell);
        },
      ),
    );
  });

  it('holds as many tasks of a step as any, where all cells are known', () => {
    const fresh = forecasts.map((each) => ({...each, writtenAt: NOW}));
    fc.assert(
      fc.property(
        fc.array(fresh, {maxLength: 16, minLength: 1}),
        steps,
        fc.nat(1_000),
        (published, step, number) => {
          const cell = choose(number, published, step);
          const held = published.map((each) => countHeldTasks(each, step, SERVICE));
          const most = Math.min(step.count, Math.max(...held));
          assert.equal(Math.min(step.count, held[cell] ?? 0), most);
        },
      ),
    );
  });
});

describe('the tasks that a cell holds at once', () => {
  it('are bounded by each resource of each minion and by the limit for each', () => {
    const count = (change: Partial<StepShape>, group: Partial<RoomGroup> = {}): number =>
      countHeldTasks(createForecast({minions: 3, ...group}), createStep(change), SERVICE);
    assert.equal(count({}), 12);
    assert.equal(count({maxPerMinion: 1}), 3);
    assert.equal(count({}, {memoryMb: 8_191}), 6);
    assert.equal(count({resources: {cpuMilli: 0, gpus: 1, memoryMb: 0}}), 0);
    assert.equal(count({resources: {cpuMilli: 0, gpus: 1, memoryMb: 0}}, {gpus: 2}), 6);
    assert.equal(count({resources: {cpuMilli: 0, gpus: 0, memoryMb: 0}}), 30);
    assert.equal(count({}, {cpuMilli: 0}), 0);
  });

  it('are as many as there are minions with the label', () => {
    const {groups} = createForecast();
    const step = createStep({maxPerMinion: 1, requiredLabel: 'a'});
    assert.equal(countHeldTasks({groups, labels: {a: 7}}, step, SERVICE), 7);
    assert.equal(countHeldTasks({groups, labels: {b: 7}}, step, SERVICE), 0);
    assert.equal(countHeldTasks({groups: [], labels: {a: 7}}, step, SERVICE), 0);
  });
});
