import type {Instant} from '@nutmegproxy/core';
import type {RunNumber, ServiceId, StepShape} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {countHeldTasks} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {summarizeRoom} from '../../CellRoomSummary.ts';
import {MAX_ROOM_GROUPS} from '../../OwnerConstants.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const NOW = 1_000 as Instant;
const MAX_RECORD_BYTES = 4_096;

describe('the room of a cell', () => {
  let fleet: Fleet;
  let minions: MinionState[];

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    minions = Array.from({length: 4}, (_, number) => createMinion(`m${number}`));
  });

  function getMinion(index: number): MinionState {
    const minion = minions[index];
    assert.ok(minion);
    return minion;
  }

  function start(minion: MinionState, change: Partial<StepShape>): void {
    fleet.startRun(createStep(1, change), 0, minion, NOW, 1 as RunNumber);
  }

  it('is that of all minions, in groups of alike ones', () => {
    assert.deepEqual(summarizeRoom(minions, NOW).groups, [
      {cpuMilli: 16_000, gpus: 0, memoryMb: 63_488, minions: 4, service: 'mesa'},
    ]);
  });

  it('is less by what runs until it is cancelled, and not by what ends', () => {
    start(getMinion(0), {longRunning: true, resources: {cpuMilli: 5_200, gpus: 0, memoryMb: 100}});
    start(getMinion(1), {resources: {cpuMilli: 5_200, gpus: 0, memoryMb: 100}});
    const room = summarizeRoom(minions, NOW).groups.map(({cpuMilli, minions: count}) => [
      cpuMilli,
      count,
    ]);
    assert.deepEqual(room, [
      [16_000, 3],
      [10_500, 1],
    ]);
  });

  it('is without minions that drain, are not listed or that a record names', () => {
    getMinion(0).description = {...getMinion(0).description, isDraining: true};
    getMinion(1).unlistedSince = NOW;
    getMinion(2).isRecordedUnreachable = true;
    assert.deepEqual(
      summarizeRoom(minions, NOW).groups.map(({minions: count}) => count),
      [1],
    );
    getMinion(3).isRecordedDraining = true;
    assert.deepEqual(summarizeRoom(minions, NOW), {groups: [], labels: {}});
  });

  it('is not said to be nothing where the minions have many labels and unlike room', () => {
    const unlike = Array.from({length: 50}, (_, number) => {
      const minion = createMinion(`m${number}`);
      const capacity = {cpuMilli: 9_000 + 310 * number, gpus: 0, memoryMb: 30_000 + 700 * number};
      const labels = ['a', `rack-${number % 20}`];
      minion.description = {...minion.description, capacity, labels};
      return minion;
    });
    const summary = summarizeRoom(unlike, NOW);
    const {shape} = createStep(1, {count: 50, maxPerMinion: 1});
    assert.ok(countHeldTasks(summary, shape, 'mesa' as ServiceId) >= 40);
    assert.equal(summary.labels.a, 50);
    assert.equal(summary.labels['rack-19'], 2);
  });

  it('is never said to be more than it is, in a record of bounded size', () => {
    const left = fc.record({
      cpuMilli: fc.integer({max: 24_000, min: 0}),
      memoryMb: fc.integer({max: 96_000, min: 0}),
    });
    fc.assert(
      fc.property(
        fc.array(left, {maxLength: 200, minLength: 1}),
        fc.integer({max: 6_000, min: 100}),
        (rooms, cpuMilli) => {
          const drawn = rooms.map((room, number) => {
            const minion = createMinion(`m${number}`);
            minion.description = {...minion.description, capacity: {...room, gpus: 0}};
            return minion;
          });
          const summary = summarizeRoom(drawn, NOW);
          assert.ok(summary.groups.length <= MAX_ROOM_GROUPS);
          assert.ok(JSON.stringify(summary).length <= MAX_RECORD_BYTES);
          const {shape} = createStep(1, {
            count: 1_000,
            resources: {cpuMilli, gpus: 0, memoryMb: 2_000},
          });
          const held = rooms.reduce(
            (sum, room) =>
              sum +
              Math.min(Math.floor(room.cpuMilli / cpuMilli), Math.floor(room.memoryMb / 2_000)),
            0,
          );
          assert.ok(countHeldTasks(summary, shape, 'mesa' as ServiceId) <= held);
        },
      ),
      {numRuns: 50},
    );
  });
});
