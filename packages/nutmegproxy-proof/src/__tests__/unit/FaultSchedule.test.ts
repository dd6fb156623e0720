import {deepEqual, ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {FAULT_NAMES} from '../../FaultInjection.ts';
import {drawSchedule} from '../../SeededRun.ts';

describe('drawSchedule', () => {
  it('is deterministic for a seed', () => {
    deepEqual(drawSchedule({seed: 7}), drawSchedule({seed: 7}));
  });

  it('draws from the chosen faults only', () => {
    const names = drawSchedule({faults: ['kill', 'pause'], seed: 3}).map(({name}) => name);
    ok(names.every((name) => name === 'kill' || name === 'pause'));
  });

  it('draws every fault over 100 seeds, and some faults twice in one round', () => {
    const schedules = Array.from({length: 100}, (_, seed) => drawSchedule({seed}));
    const drawn = new Set(schedules.flat().map(({name}) => name));
    deepEqual([...drawn].sort(), [...FAULT_NAMES].sort());
    const repeats = schedules.filter((schedule) => {
      return new Set(schedule.map(({name, round}) => `${round} ${name}`)).size < schedule.length;
    });
    ok(repeats.length > 0);
  });
});
