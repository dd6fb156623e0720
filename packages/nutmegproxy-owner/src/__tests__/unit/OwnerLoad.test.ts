import type {Instant} from '@nutmegproxy/core';
import type {MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {OwnerLoad} from '../../OwnerLoad.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const at = (ms: number): Instant => ms as Instant;

describe('OwnerLoad', () => {
  let fleet: Fleet;
  let load: OwnerLoad;
  let loop: {active: number; idle: number};
  let minion: MinionState;

  beforeEach(() => {
    loop = {active: 100, idle: 0};
    load = new OwnerLoad(() => loop);
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
  });

  describe('the fields of a summary', () => {
    it('say what the process did since the last one', () => {
      loop = {active: 1_600, idle: 500};
      load.recordPoll();
      load.recordRound(400);
      const {loopBusyPercent, planPercent, pollsPerS} = load.takeFields();
      assert.deepEqual([loopBusyPercent, planPercent, pollsPerS], [75, 20, 1]);
      loop = {active: 1_700, idle: 900};
      const next = load.takeFields();
      assert.equal(next.pollsPerS, 0);
      assert.equal(next.planPercent, 0);
    });

    it('are finite when no time has passed', () => {
      const fields = Object.values(load.takeFields());
      assert.ok(fields.every((each) => each === undefined || Number.isFinite(each)));
    });
  });

  describe('first starts of steps', () => {
    it('are measured by kind of work, later starts of the step are only counted', () => {
      const ordinary = createStep(1, {count: 2});
      ordinary.readyAt = at(10);
      const filling = createStep(2, {fillsSpareCpu: true});
      filling.readyAt = at(10);
      const first = fleet.startRun(ordinary, 0, minion, at(30));
      const second = fleet.startRun(ordinary, 1, minion, at(500));
      const backfill = fleet.startRun(filling, 0, minion, at(110));
      load.recordPlaced(first, at(30));
      load.recordPlaced(second, at(500));
      load.recordPlaced(backfill, at(110));
      load.recordConfirmed(first, at(35));
      load.recordConfirmed(second, at(900));
      loop = {active: 600, idle: 500};
      const fields = load.takeFields();
      assert.equal(fields.startsPerS, 3);
      assert.equal(fields.firstWaitMsOrdinary, 20);
      assert.equal(fields.confirmMsOrdinary, 5);
      assert.equal(fields.firstWaitMsFilling, 100);
      assert.equal(fields.confirmMsFilling, undefined);
      assert.equal(fields.firstWaitMsServing, undefined);
    });
  });
});
